#include "forwarding/internal/inflightguard.h"
#include "forwarding/internal/upstreamtable.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using catalog::EngineState;
using catalog::InstanceId;
using catalog::ModelTarget;
using catalog::StartTime;
using catalog::Upstream;
using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;
using framework::ServiceName;
using framework::SteadyTime;

const ServiceName service("engines");
const Endpoint endpoint("10.0.0.1:80");
const ModelTarget target { ModelName("m"), {} };
const PromptChain prompt { { 7, 100 } };

std::optional<StartTime> startOf(std::uint64_t started)
{
    return started == 0 ? std::nullopt : std::optional(StartTime(started));
}

Upstream upstream(std::uint64_t started, const Endpoint& at = endpoint)
{
    Upstream made;
    made.instance = InstanceId("i-1");
    made.started = startOf(started);
    made.service = service;
    made.endpoint = at;
    return made;
}

Upstream versioned(std::uint64_t started, const std::string& version)
{
    Upstream made = upstream(started);
    made.version = catalog::SoftwareVersion(version);
    return made;
}

EngineState state(std::uint64_t started, bool hasModel)
{
    EngineState made;
    made.engine = endpoint;
    made.started = startOf(started);
    if (hasModel)
        made.held.push_back({ target.model, 1, {}, 0 });
    return made;
}

struct Fixture {
    UpstreamRecord& only() { return *table.ready(service).at(0); }

    std::string versionNow()
    {
        const auto version = table.softwareVersion(only(), now);
        return version ? version->name() : "unknown";
    }

    /// An answer of the server says that it leaves.
    void leave(UpstreamRecord& record)
    {
        notices::ServerNotice notice;
        notice.isLeaving = true;
        table.didReceiveNotice(record, notice, now);
    }

    bool isOutOfUse()
    {
        return table.ready(service).empty() && !table.hasReady(service) && table.serving(service, target.model).empty()
            && table.engines(service, now).empty();
    }

    /// Records data that a router collects about a server by using it.
    void use()
    {
        only().prompts.didSend(prompt);
        only().outlierDetector.didFail(now);
    }

    bool isUsed() { return only().prompts.cachedTokens(prompt) > 0 && only().outlierDetector.isSuspect(now); }
    bool isReset() { return only().prompts.cachedTokens(prompt) == 0 && !only().outlierDetector.isSuspect(now); }

    /// Returns how many connections the table hands out for an engine with a limit of 100 after a load changes the
    /// number of routers.
    std::size_t connectionsAfterLoad(std::uint32_t routersBefore, std::uint32_t routersAfter)
    {
        auto configuration = std::make_shared<catalog::Configuration>();
        configuration->services.push_back({ service, 100, catalog::EngineProfile() });
        table.setConfiguration(configuration);
        table.setUpstreams({ upstream(0) });
        EngineState reportedState = state(0, true);
        reportedState.routers = routersBefore;
        table.setState(reportedState, now);
        catalog::EngineLoad load = catalog::loadOf(reportedState);
        load.routers = routersAfter;
        table.setLoad(load, now);
        std::vector<std::shared_ptr<http::ClientConnection>> taken;
        while (auto connection = only().connections.take(http::ConnectionPool::Reuse::Normal, now))
            taken.push_back(std::move(connection));
        for (const auto& connection : taken)
            connection->abandon();
        return taken.size();
    }

    boost::asio::io_context context;
    UpstreamTable table { context };
    SteadyTime now { std::chrono::hours(1) };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheUpstreamTable, Fixture)

// Prevents an entry that says ready from bringing a server back that has said that it leaves: the list may be out of
// date, or the entry may be removed and written again.
BOOST_AUTO_TEST_CASE(aServerThatSaidThatItLeavesStaysOutWhateverTheListSays)
{
    table.setUpstreams({ upstream(100) });
    table.setState(state(100, true), now);
    const UpstreamPointer record = table.ready(service).at(0);
    BOOST_TEST(table.serving(service, target.model).size() == 1u);
    leave(*record);
    BOOST_TEST(!table.isInService(*record));
    BOOST_TEST(isOutOfUse());
    table.setUpstreams({ upstream(100) });
    BOOST_TEST(isOutOfUse());
    table.setUpstreams({});
    table.setUpstreams({ upstream(100) });
    table.setState(state(100, true), now);
    BOOST_TEST(isOutOfUse());
    // An entry of a former run, written again while the one that leaves still has the id.
    table.setUpstreams({});
    table.setUpstreams({ upstream(50) });
    BOOST_TEST(isOutOfUse());
}

// Prevents a server from being kept out for what a former run, or the former server at its address, has said.
BOOST_AUTO_TEST_CASE(aNewRunAtTheAddressIsUsed)
{
    table.setUpstreams({ upstream(100) });
    leave(only());
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(table.ready(service).size() == 1u);
    leave(only());
    Upstream successor = upstream(300);
    successor.instance = InstanceId("i-2");
    table.setUpstreams({ successor });
    BOOST_TEST(table.ready(service).size() == 1u);
}

// Prevents a restart that an agent sees first from being bound by what the former run has said.
BOOST_AUTO_TEST_CASE(aRestartThatTheAgentReportsEndsTheLeaving)
{
    table.setUpstreams({ upstream(100) });
    leave(only());
    table.setState(state(200, true), now);
    BOOST_TEST(table.ready(service).size() == 1u);
}

// Prevents the end of a server that leaves from being taken for a crash.
BOOST_AUTO_TEST_CASE(theEndOfAServerThatLeavesIsNoCrash)
{
    int ended = 0;
    table.setRunEndHandler([&](const catalog::UpstreamRun&, quarantine::EndSign) { ++ended; });
    table.setUpstreams({ upstream(100) });
    leave(only());
    table.setUpstreams({});
    BOOST_TEST(ended == 0);
}

// Prevents the data of a former run from being used after an engine has restarted under the same id: the router sent
// requests there for cached prompts that no longer existed, and excluded the engine for the failures of the crash.
BOOST_AUTO_TEST_CASE(dataOfAServerIsDroppedWhenItRestarts)
{
    table.setUpstreams({ upstream(100) });
    use();
    table.setUpstreams({ upstream(100) });
    BOOST_TEST(isUsed());
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(isReset());
    BOOST_TEST(only().facts.started->value() == 200U);
}

BOOST_AUTO_TEST_CASE(aReplacedServerIsUsedAgainAfterItsRestart)
{
    table.setUpstreams({ upstream(100) });
    only().isReplaced = true;
    BOOST_TEST(table.ready(service).empty());
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(table.ready(service).size() == 1U);
}

// Prevents requests from being sent over connections to the old address when the list names another address under the
// same id.
BOOST_AUTO_TEST_CASE(dataOfAServerIsDroppedWhenItsAddressChanges)
{
    table.setUpstreams({ upstream(0) });
    use();
    table.setUpstreams({ upstream(0, Endpoint("10.0.0.2:80")) });
    BOOST_TEST(isReset());
}

// Prevents a report that an agent sent before a restart from being used after the list has shown the restart: for a
// second the router sent requests for a model that the engine no longer had.
BOOST_AUTO_TEST_CASE(reportsOfAFormerRunAreIgnored)
{
    table.setUpstreams({ upstream(200) });
    table.setState(state(100, true), now);
    BOOST_TEST(!table.state(only(), now));
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    BOOST_TEST(table.engines(service, now).empty());
    table.setState(state(200, true), now);
    BOOST_TEST(table.hasLoaded(only(), target, now));
}

// An agent queries its engine several times a second, so it usually sees a restart before the list shows it.
BOOST_AUTO_TEST_CASE(anAgentsReportOfARestartIsSufficient)
{
    table.setUpstreams({ upstream(100) });
    table.setState(state(100, true), now);
    use();
    table.setState(state(100, true), now);
    BOOST_TEST(isUsed());
    table.setState(state(200, false), now);
    BOOST_TEST(isReset());
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    use();
    // The list first still shows the former run, then the same run as the agent.
    table.setUpstreams({ upstream(100) });
    BOOST_TEST(isUsed());
    BOOST_TEST(table.state(only(), now));
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(isUsed());
}

// The list still names the models of the former run, and the agent that saw the restart falls silent.
BOOST_AUTO_TEST_CASE(modelsOfTheFormerRunAreNotLoadedInTheNext)
{
    Upstream listed = upstream(100);
    listed.models.push_back({ target.model, 1, {}, 0 });
    table.setUpstreams({ listed });
    BOOST_TEST(table.hasLoaded(only(), target, now));
    table.setState(state(200, false), now);
    now += std::chrono::seconds(10);
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    table.setUpstreams({ listed });
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    listed.started = StartTime(200);
    table.setUpstreams({ listed });
    BOOST_TEST(table.hasLoaded(only(), target, now));
}

// Prevents a request from being sent again and again to a restarted engine that has rejected it as not loaded, which
// spent the retry budget before the agent's next report and ended in a refusal.
BOOST_AUTO_TEST_CASE(aRejectedModelIsNotLoadedUntilItIsReportedAgain)
{
    Upstream listed = upstream(100);
    listed.models.push_back({ target.model, 1, {}, 0 });
    table.setUpstreams({ listed });
    table.setState(state(100, true), now);
    table.didReportNotLoaded(only(), target);
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    BOOST_TEST(!table.hasLoaded(only(), target, now + std::chrono::seconds(10)));
    table.setState(state(100, true), now);
    BOOST_TEST(table.hasLoaded(only(), target, now));
}

BOOST_AUTO_TEST_CASE(aMissingAdapterDoesNotAffectItsModel)
{
    const ModelTarget adapter { target.model, framework::AdapterName("a1") };
    EngineState reportedState = state(0, true);
    reportedState.held[0].adapters.push_back(adapter.adapter);
    table.setUpstreams({ upstream(0) });
    table.setState(reportedState, now);
    BOOST_TEST(table.hasLoaded(only(), adapter, now));
    table.didReportNotLoaded(only(), adapter);
    BOOST_TEST(!table.hasLoaded(only(), adapter, now));
    BOOST_TEST(table.hasLoaded(only(), target, now));
}

BOOST_AUTO_TEST_CASE(serversWithoutAStartTimeAreIdentifiedByTheirId)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    use();
    table.setUpstreams({ upstream(0) });
    BOOST_TEST(isUsed());
    BOOST_TEST(table.hasLoaded(only(), target, now));
}

// Prevents requests from being sent to a crashed engine for as long as its agent's last report is valid: for 2.5 s each
// chat request failed to connect three times in quick succession and was refused, and no other engine was asked to load
// the model.
BOOST_AUTO_TEST_CASE(anUnreachableEngineHasNoModelsUntilItsAgentReports)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    BOOST_REQUIRE(table.hasLoaded(only(), target, now));
    table.didFailToConnect(only(), now);
    BOOST_TEST(!table.hasLoaded(only(), target, now));
    BOOST_TEST(table.engines(service, now).empty());
    table.setState(state(0, true), now);
    BOOST_TEST(table.hasLoaded(only(), target, now));
    BOOST_TEST(table.engines(service, now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(anEngineWithoutAnAgentIsTriedAgainAfterAWhile)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    table.didFailToConnect(only(), now);
    BOOST_TEST(!table.hasLoaded(only(), target, now + Milliseconds(1000)));
    table.setUpstreams({ listed });
    BOOST_TEST(!table.hasLoaded(only(), target, now + Milliseconds(1000)));
    BOOST_TEST(table.hasLoaded(only(), target, now + Milliseconds(1500)));
}

// Prevents a model from not being found on an engine whose agent this router doesn't subscribe to.
BOOST_AUTO_TEST_CASE(anEngineWithoutASubscriptionServesTheListedModels)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    listed.cachedWeights.disk.push_back(ModelName("cached"));
    table.setUpstreams({ listed });
    BOOST_TEST(table.serving(service, target.model).size() == 1u);
    BOOST_TEST(table.replicas(service).availableAt(ModelName("cached")).size() == 1u);
    table.setState(state(0, false), now);
    BOOST_TEST(table.serving(service, target.model).empty());
    table.forgetState(endpoint);
    BOOST_TEST(table.serving(service, target.model).size() == 1u);
    table.setUpstreams({});
    BOOST_TEST(table.serving(service, target.model).empty());
}

BOOST_AUTO_TEST_CASE(anUnreachableEngineIsIndexedAgainAfterAWhile)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    table.didFailToConnect(only(), now);
    BOOST_TEST(table.serving(service, target.model).empty());
    table.expire(now + Milliseconds(1000));
    BOOST_TEST(table.serving(service, target.model).empty());
    table.expire(now + Milliseconds(1600));
    BOOST_TEST(table.serving(service, target.model).size() == 1u);
}

BOOST_AUTO_TEST_CASE(aLoadUpdatesTheFiguresOfItsState)
{
    table.setUpstreams({ upstream(0) });
    EngineState reportedState = state(0, true);
    reportedState.routers = 3;
    table.setState(reportedState, now);
    catalog::EngineLoad load = catalog::loadOf(reportedState);
    load.running = 9;
    load.routers = 5;
    table.setLoad(load, now + Milliseconds(2000));
    const ReportedState* const report = table.state(only(), now + Milliseconds(4000));
    BOOST_REQUIRE(report);
    BOOST_TEST(report->state.running == 9u);
    BOOST_TEST(table.routers() == 5u);
}

// Prevents load figures from being applied to a state with other models.
BOOST_AUTO_TEST_CASE(aLoadOfAnotherStateIsIgnored)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    catalog::EngineLoad load = catalog::loadOf(state(0, false));
    load.running = 9;
    table.setLoad(load, now);
    BOOST_TEST(table.state(only(), now)->state.running == 0u);
}

// Prevents an engine that was removed from the list from being indexed again by a request that ends there later.
BOOST_AUTO_TEST_CASE(aRemovedEngineIsNotIndexedByItsLastRequest)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    listed.models.push_back({ ModelName("other"), 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    const UpstreamPointer record = table.ready(service).at(0);
    table.setUpstreams({});
    table.didReportNotLoaded(*record, target);
    BOOST_TEST(table.replicas(service).size() == 0u);
    table.didFailToConnect(*record, now);
    BOOST_TEST(table.replicas(service).size() == 0u);
    BOOST_TEST(table.serving(service, ModelName("other")).empty());
}

// Guards against requests that wait until their deadlines because the router keeps the small share of connections it
// uses while the number of routers is unknown, even after a load reports that number.
BOOST_AUTO_TEST_CASE(aLoadThatFirstNamesTheRoutersRaisesTheShareOfConnections)
{
    BOOST_TEST(connectionsAfterLoad(0, 1) == 85u);
}

// Prevents routers from keeping too large a share of an engine's connections when the number of routers grows.
BOOST_AUTO_TEST_CASE(aLoadThatNamesMoreRoutersLowersTheShareOfConnections)
{
    BOOST_TEST(connectionsAfterLoad(2, 10) == 8u);
}

// Prevents a stream from going on at a server that has restarted with other software, as long as only its agent tells.
BOOST_AUTO_TEST_CASE(theVersionOfARestartedServerIsUnknownUntilItsEntryTellsIt)
{
    table.setUpstreams({ versioned(1000, "v1") });
    table.didConfirmList(now);
    BOOST_TEST(versionNow() == "v1");
    table.setState(state(2000, true), now);
    BOOST_TEST(versionNow() == "unknown");
    table.setUpstreams({ versioned(1000, "v1") });
    BOOST_TEST(versionNow() == "unknown");
    table.setUpstreams({ versioned(2000, "v2") });
    BOOST_TEST(versionNow() == "v2");
}

// Prevents the entry of a former run, which the list still shows, from replacing the version of the present one.
BOOST_AUTO_TEST_CASE(anEntryOfAFormerRunDoesNotChangeTheVersion)
{
    table.setUpstreams({ versioned(2000, "v2") });
    table.didConfirmList(now);
    table.setUpstreams({ versioned(1000, "v1") });
    BOOST_TEST(versionNow() == "v2");
}

// Prevents a server that restarts without telling its start time from being taken for the former one.
BOOST_AUTO_TEST_CASE(anotherVersionIsAnotherServer)
{
    table.setUpstreams({ versioned(0, "v1") });
    table.didConfirmList(now);
    use();
    table.setUpstreams({ versioned(0, "v1.1") });
    BOOST_TEST(versionNow() == "v1.1");
    BOOST_TEST(isReset());
}

// Prevents an old list from vouching for servers that may have restarted with other software meanwhile.
BOOST_AUTO_TEST_CASE(anOldListTellsNoVersionUnlessTheAgentReportsTheRun)
{
    table.setUpstreams({ versioned(1000, "v1") });
    BOOST_TEST(versionNow() == "unknown");
    table.didConfirmList(now);
    now += Milliseconds(3000);
    BOOST_TEST(versionNow() == "v1");
    now += Milliseconds(1);
    BOOST_TEST(versionNow() == "unknown");
    table.setState(state(1000, true), now);
    BOOST_TEST(versionNow() == "v1");
    now += Milliseconds(2501);
    BOOST_TEST(versionNow() == "unknown");
}

BOOST_AUTO_TEST_CASE(theSpeedOfAnEngineEndsWithItsRun)
{
    table.setUpstreams({ upstream(1) });
    const auto speeds = table.speeds(service);
    speeds->didRead(only().facts.run(), { target.model, catalog::MegaBytes(70000) }, 8000, Milliseconds(900));
    BOOST_TEST(speeds->engines() == 1u);
    table.setUpstreams({ upstream(2) });
    BOOST_TEST(speeds->engines() == 0u);
    BOOST_TEST(speeds->models() == 1u);
}

// Prevents runs that have ended from filling the table of speeds: their last requests are kept alive beyond them.
BOOST_AUTO_TEST_CASE(aRequestOfARunThatHasEndedTeachesNothing)
{
    table.setUpstreams({ upstream(1) });
    const auto speeds = table.speeds(service);
    const UpstreamPointer former = table.ready(service).at(0);
    InFlightGuard guard(former, target, 0, 8000, { speeds, catalog::MegaBytes(70000), 8000 }, now);
    InFlightGuard ofPresentRun(former, target, 0, 8000, { speeds, catalog::MegaBytes(70000), 8000 }, now);
    ofPresentRun.didStart(now + Milliseconds(900));
    BOOST_TEST(speeds->engines() == 1u);
    table.setUpstreams({});
    guard.didStart(now + Milliseconds(900));
    BOOST_TEST(speeds->engines() == 0u);
}

// Prevents requests that failed before their first event from making an engine look fast.
BOOST_AUTO_TEST_CASE(aRequestWithoutAnEventTeachesNothing)
{
    table.setUpstreams({ upstream(1) });
    const auto speeds = table.speeds(service);
    {
        const InFlightGuard guard(
            table.ready(service).at(0), target, 0, 8000, { speeds, catalog::MegaBytes(70000), 8000 }, now);
    }
    BOOST_TEST(speeds->engines() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
