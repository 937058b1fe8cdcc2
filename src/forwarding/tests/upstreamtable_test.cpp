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

EngineState state(std::uint64_t started, bool holdsModel)
{
    EngineState made;
    made.engine = endpoint;
    made.started = startOf(started);
    if (holdsModel)
        made.held.push_back({ target.model, 1, {}, 0 });
    return made;
}

struct Fixture {
    UpstreamRecord& only() { return *table.ready(service).at(0); }

    /// What a router comes to know of a server by using it.
    void use()
    {
        only().prompts.didSend(prompt);
        only().suspicion.didFail(now);
    }

    bool isUsed() { return only().prompts.kept(prompt) > 0 && only().suspicion.isSuspect(now); }
    bool isAnew() { return only().prompts.kept(prompt) == 0 && !only().suspicion.isSuspect(now); }

    /// Returns how many connections the table hands out for an engine with a limit of 100 after a load changes the
    /// number of routers.
    std::size_t connectionsAfterLoad(std::uint32_t routersBefore, std::uint32_t routersAfter)
    {
        auto configuration = std::make_shared<catalog::Configuration>();
        configuration->services.push_back({ service, 100, catalog::EngineProfile() });
        table.setConfiguration(configuration);
        table.setUpstreams({ upstream(0) });
        EngineState told = state(0, true);
        told.routers = routersBefore;
        table.setState(told, now);
        catalog::EngineLoad load = catalog::loadOf(told);
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

// An engine had started again under its id. The router still counted on the prompts that the former run had read: it
// sent what began alike there, where all of it was read anew, and passed others by for the failures of the crash.
BOOST_AUTO_TEST_CASE(nothingKnownOfAServerOutlivesItsRestart)
{
    table.setUpstreams({ upstream(100) });
    use();
    table.setUpstreams({ upstream(100) });
    BOOST_TEST(isUsed());
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(isAnew());
    BOOST_TEST(only().facts.started->value() == 200U);
}

BOOST_AUTO_TEST_CASE(aServerThatWasTakenForGoneIsThereAgainAfterItsRestart)
{
    table.setUpstreams({ upstream(100) });
    only().isGone = true;
    BOOST_TEST(table.ready(service).empty());
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(table.ready(service).size() == 1U);
}

// The list named another address under the same id, and requests still went over the connections to the old one.
BOOST_AUTO_TEST_CASE(aServerAtAnotherAddressIsKnownAnew)
{
    table.setUpstreams({ upstream(0) });
    use();
    table.setUpstreams({ upstream(0, Endpoint("10.0.0.2:80")) });
    BOOST_TEST(isAnew());
}

// A router read of a restart in the list, then got a word that the engine's agent had sent before it, and for a second
// sent requests for a model that the engine no longer had.
BOOST_AUTO_TEST_CASE(whatAnAgentSaidOfTheFormerRunIsNotBelieved)
{
    table.setUpstreams({ upstream(200) });
    table.setState(state(100, true), now);
    BOOST_TEST(!table.state(only(), now));
    BOOST_TEST(!table.holds(only(), target, now));
    BOOST_TEST(table.engines(service, now).empty());
    table.setState(state(200, true), now);
    BOOST_TEST(table.holds(only(), target, now));
}

// An agent, which asks its engine several times a second, mostly sees a restart before the list shows it.
BOOST_AUTO_TEST_CASE(anAgentsWordOfARestartIsEnough)
{
    table.setUpstreams({ upstream(100) });
    table.setState(state(100, true), now);
    use();
    table.setState(state(100, true), now);
    BOOST_TEST(isUsed());
    table.setState(state(200, false), now);
    BOOST_TEST(isAnew());
    BOOST_TEST(!table.holds(only(), target, now));
    use();
    // The list still shows the former run, then the same as the agent.
    table.setUpstreams({ upstream(100) });
    BOOST_TEST(isUsed());
    BOOST_TEST(table.state(only(), now));
    table.setUpstreams({ upstream(200) });
    BOOST_TEST(isUsed());
}

// The list goes on naming the models of the former run, and the agent that saw the restart falls silent.
BOOST_AUTO_TEST_CASE(theModelsOfTheFormerRunAreNotHeldByTheNext)
{
    Upstream listed = upstream(100);
    listed.models.push_back({ target.model, 1, {}, 0 });
    table.setUpstreams({ listed });
    BOOST_TEST(table.holds(only(), target, now));
    table.setState(state(200, false), now);
    now += std::chrono::seconds(10);
    BOOST_TEST(!table.holds(only(), target, now));
    table.setUpstreams({ listed });
    BOOST_TEST(!table.holds(only(), target, now));
    listed.started = StartTime(200);
    table.setUpstreams({ listed });
    BOOST_TEST(table.holds(only(), target, now));
}

// A restarted engine refused a request for a model that it no longer had. Until its agent's next word the router sent
// the request there again and again, spent its repeats, and refused it.
BOOST_AUTO_TEST_CASE(whatAServerSaysItLacksIsNotHeldUntilItIsSaidAnew)
{
    Upstream listed = upstream(100);
    listed.models.push_back({ target.model, 1, {}, 0 });
    table.setUpstreams({ listed });
    table.setState(state(100, true), now);
    table.didLack(only(), target);
    BOOST_TEST(!table.holds(only(), target, now));
    BOOST_TEST(!table.holds(only(), target, now + std::chrono::seconds(10)));
    table.setState(state(100, true), now);
    BOOST_TEST(table.holds(only(), target, now));
}

BOOST_AUTO_TEST_CASE(aMissingAdapterLeavesItsModel)
{
    const ModelTarget adapter { target.model, framework::AdapterName("a1") };
    EngineState told = state(0, true);
    told.held[0].adapters.push_back(adapter.adapter);
    table.setUpstreams({ upstream(0) });
    table.setState(told, now);
    BOOST_TEST(table.holds(only(), adapter, now));
    table.didLack(only(), adapter);
    BOOST_TEST(!table.holds(only(), adapter, now));
    BOOST_TEST(table.holds(only(), target, now));
}

BOOST_AUTO_TEST_CASE(serversThatDoNotSayTheirStartAreKnownByTheirId)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    use();
    table.setUpstreams({ upstream(0) });
    BOOST_TEST(isUsed());
    BOOST_TEST(table.holds(only(), target, now));
}

// An engine crashed. For two and a half seconds its agent's last word held, so each chat for its model was sent there,
// found no listener three times within a moment, and was refused; nobody was asked to load the model elsewhere.
BOOST_AUTO_TEST_CASE(anEngineThatCannotBeConnectedToHoldsNothingUntilItsAgentSpeaks)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    BOOST_REQUIRE(table.holds(only(), target, now));
    table.didLose(only(), now);
    BOOST_TEST(!table.holds(only(), target, now));
    BOOST_TEST(table.engines(service, now).empty());
    table.setState(state(0, true), now);
    BOOST_TEST(table.holds(only(), target, now));
    BOOST_TEST(table.engines(service, now).size() == 1u);
}

BOOST_AUTO_TEST_CASE(anEngineWithoutAnAgentIsTriedAgainAfterAWhile)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    table.didLose(only(), now);
    BOOST_TEST(!table.holds(only(), target, now + Milliseconds(1000)));
    table.setUpstreams({ listed });
    BOOST_TEST(!table.holds(only(), target, now + Milliseconds(1000)));
    BOOST_TEST(table.holds(only(), target, now + Milliseconds(1500)));
}

// Guards against a model that isn't found at an engine whose agent this router doesn't subscribe to.
BOOST_AUTO_TEST_CASE(anEngineWithoutASubscriptionServesWhatTheListSays)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    listed.atHand.disk.push_back(ModelName("cached"));
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

BOOST_AUTO_TEST_CASE(aLostEngineIsIndexedAgainAfterAWhile)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    table.didLose(only(), now);
    BOOST_TEST(table.serving(service, target.model).empty());
    table.forgetLosses(now + Milliseconds(1000));
    BOOST_TEST(table.serving(service, target.model).empty());
    table.forgetLosses(now + Milliseconds(1600));
    BOOST_TEST(table.serving(service, target.model).size() == 1u);
}

BOOST_AUTO_TEST_CASE(aLoadUpdatesTheFiguresOfItsState)
{
    table.setUpstreams({ upstream(0) });
    EngineState told = state(0, true);
    told.routers = 3;
    table.setState(told, now);
    catalog::EngineLoad load = catalog::loadOf(told);
    load.running = 9;
    load.routers = 5;
    table.setLoad(load, now + Milliseconds(2000));
    const HeardState* const heard = table.state(only(), now + Milliseconds(4000));
    BOOST_REQUIRE(heard);
    BOOST_TEST(heard->state.running == 9u);
    BOOST_TEST(table.routers() == 5u);
}

// Guards against figures that are taken for those of other models.
BOOST_AUTO_TEST_CASE(aLoadOfAnotherStateIsIgnored)
{
    table.setUpstreams({ upstream(0) });
    table.setState(state(0, true), now);
    catalog::EngineLoad load = catalog::loadOf(state(0, false));
    load.running = 9;
    table.setLoad(load, now);
    BOOST_TEST(table.state(only(), now)->state.running == 0u);
}

// Guards against an engine that the list has dropped and that a request, which ends there only then, brings back.
BOOST_AUTO_TEST_CASE(anEngineThatIsGoneIsNotIndexedByItsLastRequest)
{
    Upstream listed = upstream(0);
    listed.models.push_back({ target.model, 1, {}, 0, 0 });
    listed.models.push_back({ ModelName("other"), 1, {}, 0, 0 });
    table.setUpstreams({ listed });
    const UpstreamPointer record = table.ready(service).at(0);
    table.setUpstreams({});
    table.didLack(*record, target);
    BOOST_TEST(table.replicas(service).size() == 0u);
    table.didLose(*record, now);
    BOOST_TEST(table.replicas(service).size() == 0u);
    BOOST_TEST(table.serving(service, ModelName("other")).empty());
}

// Guards against requests that wait until their deadlines because the router keeps the small share of connections it
// uses while the number of routers is unknown, even after a load reports that number.
BOOST_AUTO_TEST_CASE(aLoadThatFirstNamesTheRoutersRaisesTheShareOfConnections)
{
    BOOST_TEST(connectionsAfterLoad(0, 1) == 85u);
}

// Guards against routers that go on with too large a share of an engine's connections as more of them come.
BOOST_AUTO_TEST_CASE(aLoadThatNamesMoreRoutersLowersTheShareOfConnections)
{
    BOOST_TEST(connectionsAfterLoad(2, 10) == 8u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
