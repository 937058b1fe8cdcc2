#include "direct/internal/catalogwatcher.h"
#include "framework/testing/manualcontrol.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace lagoon::direct {

namespace {

using catalog::InstanceId;
using catalog::StartTime;
using catalog::Upstream;
using framework::Endpoint;
using framework::Error;
using framework::ErrorCode;
using framework::ManualControl;
using framework::Milliseconds;
using framework::Result;
using framework::ServiceName;
using objectstore::FeedChanges;
using objectstore::FeedObject;
using objectstore::FeedPage;
using objectstore::StoreRevision;

/// Answers a list call at once with the objects that the test has put, and keeps a watch until the test answers it.
class FakeFeed final : public objectstore::IObjectFeed {
public:
    void list(const std::string&, framework::Deadline, PageHandler handler) override
    {
        handler(FeedPage { objects, false, StoreRevision(revision) });
    }

    void watch(StoreRevision, Milliseconds, framework::Deadline, ChangesHandler handler) override
    {
        watches.push_back(std::move(handler));
    }

    FeedObject put(const std::string& name, std::any value, std::uint64_t created)
    {
        return objects.emplace_back(FeedObject { name, std::move(value), StoreRevision(++revision), created });
    }

    void answerWatch(FeedChanges changes)
    {
        changes.at = StoreRevision(revision);
        auto handler = std::move(watches.front());
        watches.pop_front();
        handler(std::move(changes));
    }

    void failWatch()
    {
        auto handler = std::move(watches.front());
        watches.pop_front();
        handler(Error { ErrorCode::PlatformUnavailable, "watch", "store", "silent" });
    }

    std::vector<FeedObject> objects;
    std::uint64_t revision = 1;
    std::deque<ChangesHandler> watches;
};

/// Accepts decoded objects as values; any other value is refused.
class FakeDecoder final : public catalog::ICatalogDecoder {
public:
    Result<catalog::Configuration> configuration(const std::any& value) const override
    {
        if (const auto* const read = std::any_cast<catalog::Configuration>(&value))
            return *read;
        return Error { ErrorCode::BadObject, "read", "configuration", "not a configuration" };
    }

    Result<Upstream> upstream(const std::string& name, const std::any& value) const override
    {
        const Upstream* const read = std::any_cast<Upstream>(&value);
        if (!read)
            return Error { ErrorCode::BadObject, "read", "server", "not a server's" };
        Upstream upstream = *read;
        upstream.instance = InstanceId(name);
        return upstream;
    }
};

constexpr Milliseconds heartbeat { 1200 };

Upstream draining(Upstream upstream)
{
    upstream.state = catalog::UpstreamState::Draining;
    return upstream;
}

Upstream server(const std::string& endpoint, std::uint64_t started, const std::string& service = "engines")
{
    Upstream upstream;
    upstream.endpoint = Endpoint(endpoint);
    upstream.service = ServiceName(service);
    if (started != 0)
        upstream.started = StartTime(started);
    return upstream;
}

struct Fixture {
    Fixture()
        : watcher({ control, control, configurations, servers, decoder, Milliseconds(2000), Milliseconds(3000),
            heartbeat, [](const catalog::ConfigurationPointer&) {},
            [this](framework::SteadyTime at) { confirmedAt = at; },
            [this](const std::vector<Upstream>& list) { published.push_back(list); }, [](framework::SteadyTime) {} })
    {
        configure({ "engines", "plain" });
    }

    static catalog::Configuration configuration(std::uint64_t version, const std::vector<std::string>& services)
    {
        catalog::Configuration made;
        made.version = catalog::ConfigurationVersion(version);
        for (const std::string& name : services) {
            catalog::Service service;
            service.name = ServiceName(name);
            made.services.push_back(service);
        }
        return made;
    }

    void configure(const std::vector<std::string>& services)
    {
        const FeedObject object = configurations.put("main", configuration(++version, services), 1);
        if (isStarted) {
            configurations.answerWatch({ { { object, false } }, {} });
            settle();
        }
    }

    void start()
    {
        isStarted = true;
        watcher.start();
        settle();
    }

    /// Advances the time by more than the pause after a change.
    void settle()
    {
        control.runPosted();
        control.advance(Milliseconds(500));
        control.runPosted();
    }

    void write(const std::string& name, std::any value, std::uint64_t created = 1)
    {
        const FeedObject object = servers.put(name, std::move(value), created);
        if (isStarted) {
            servers.answerWatch({ { { object, false } }, {} });
            settle();
        }
    }

    void remove(const std::string& name)
    {
        std::erase_if(servers.objects, [&](const FeedObject& object) { return object.name == name; });
        servers.answerWatch({ { { FeedObject { name, {}, StoreRevision(++servers.revision) }, true } }, {} });
        settle();
    }

    /// The store doesn't answer for a second.
    void breakStore()
    {
        servers.failWatch();
        control.advance(Milliseconds(1000));
    }

    /// The store confirms the list after this time.
    void confirmAfter(Milliseconds time)
    {
        control.advance(time);
        servers.answerWatch({});
        settle();
    }

    bool isReady(const std::string& name) const
    {
        const Upstream* const found = find(name);
        return found && found->state == catalog::UpstreamState::Ready;
    }

    const Upstream* find(const std::string& name) const
    {
        for (const Upstream& upstream : published.back()) {
            if (upstream.instance == InstanceId(name))
                return &upstream;
        }
        return nullptr;
    }

    ManualControl control;
    FakeFeed configurations;
    FakeFeed servers;
    FakeDecoder decoder;
    std::vector<std::vector<Upstream>> published;
    /// When the configuration was last confirmed.
    std::optional<framework::SteadyTime> confirmedAt;
    std::uint64_t version = 0;
    bool isStarted = false;
    CatalogWatcher watcher;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CatalogWatchers, Fixture)

// Prevents trust in a configuration that the store hasn't confirmed for long.
BOOST_AUTO_TEST_CASE(theConfigurationIsConfirmedByEachAnswerOfTheStore)
{
    start();
    BOOST_REQUIRE(confirmedAt.has_value());
    const auto first = *confirmedAt;
    control.advance(Milliseconds(2500));
    BOOST_TEST((*confirmedAt == first));
    configurations.answerWatch({});
    BOOST_TEST((*confirmedAt == control.now()));
    // A version that can't be decoded isn't in force here.
    control.advance(Milliseconds(1000));
    const auto second = *confirmedAt;
    configurations.answerWatch({ { { configurations.put("main", std::string("garbage"), 1), false } }, {} });
    BOOST_TEST((*confirmedAt == second));
}

// Prevents requests to a server that is no longer listed: another writer overwrote the server's entry, and routers
// still used its former content.
BOOST_AUTO_TEST_CASE(anUndecodableEntryListsNoServerAndLeavesOthersInPlace)
{
    write("i-1", server("10.0.0.1:80", 100));
    write("i-2", server("10.0.0.2:80", 100));
    write("i-3", std::string("garbage"));
    start();
    BOOST_TEST(published.back().size() == 2U);
    write("i-1", std::string("garbage"));
    BOOST_TEST(!find("i-1"));
    BOOST_TEST(find("i-2"));
    write("i-1", server("10.0.0.1:80", 100));
    BOOST_TEST(find("i-1"));
}

BOOST_AUTO_TEST_CASE(aRestartUnderTheSameIdIsPublished)
{
    write("i-1", server("10.0.0.1:80", 100));
    start();
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_REQUIRE(find("i-1"));
    BOOST_TEST(find("i-1")->started->value() == 200U);
}

// Prevents a late entry of a server's former run from replacing the new one: a server crashed and restarted under its
// ID. Its last update before the crash reached the store after the new entry, and routers used the models listed there.
BOOST_AUTO_TEST_CASE(aLateEntryOfTheFormerRunIsIgnored)
{
    write("i-1", server("10.0.0.1:80", 200));
    start();
    Upstream former = server("10.0.0.1:80", 100);
    former.models.push_back({ framework::ModelName("m"), 1, {}, 0 });
    write("i-1", former);
    BOOST_REQUIRE(find("i-1"));
    BOOST_TEST(find("i-1")->started->value() == 200U);
    BOOST_TEST(find("i-1")->models.empty());
    // It is also ignored after an entry that lists no server.
    write("i-1", std::string("garbage"));
    write("i-1", former);
    BOOST_TEST(!find("i-1"));
}

// Prevents a draining state from being ignored: a server restarted after its VM's clock had been set back, so that all
// its entries were discarded as late.
BOOST_AUTO_TEST_CASE(drainingWithAnEarlierStartTimeIsApplied)
{
    write("i-1", server("10.0.0.1:80", 200));
    start();
    Upstream draining = server("10.0.0.1:80", 100);
    draining.state = catalog::UpstreamState::Draining;
    write("i-1", draining);
    BOOST_REQUIRE(find("i-1"));
    BOOST_TEST((find("i-1")->state == catalog::UpstreamState::Draining));
    BOOST_TEST(find("i-1")->started->value() == 200U);
    // If the later run still lists itself as ready, the entry was a late one of the former run.
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST((find("i-1")->state == catalog::UpstreamState::Ready));
}

// Prevents requests to a leaving server whose heartbeat, sent before it began to drain, the store executes late.
BOOST_AUTO_TEST_CASE(aRunThatDrainsIsNotListedAsReadyAgain)
{
    write("i-1", server("10.0.0.1:80", 200));
    start();
    write("i-1", draining(server("10.0.0.1:80", 200)));
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(!isReady("i-1"));
    write("i-1", std::string("garbage"));
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(!isReady("i-1"));
    // A restart under the same ID serves at once.
    write("i-1", server("10.0.0.1:80", 300));
    BOOST_TEST(isReady("i-1"));
}

// Prevents requests to a leaving server whose removed entry a late heartbeat has written again.
BOOST_AUTO_TEST_CASE(aRunThatDrainedIsNotReadyAfterItsEntryWasRemoved)
{
    write("i-1", draining(server("10.0.0.1:80", 200)));
    start();
    remove("i-1");
    control.advance(Milliseconds(120000));
    write("i-1", server("10.0.0.1:80", 200));
    confirmAfter(heartbeat * 5);
    BOOST_TEST(!isReady("i-1"));
}

// Prevents use of models that an engine has unloaded, which a heartbeat that the store executes late still lists.
BOOST_AUTO_TEST_CASE(ofTwoEntriesOfOneRunTheHigherCountApplies)
{
    Upstream before = server("10.0.0.1:80", 200);
    before.updates = 4;
    before.models.push_back({ framework::ModelName("m"), 1, {}, 0 });
    write("i-1", before);
    start();
    Upstream after = server("10.0.0.1:80", 200);
    after.updates = 5;
    write("i-1", after);
    write("i-1", before);
    BOOST_REQUIRE(find("i-1"));
    BOOST_TEST(find("i-1")->models.empty());
    write("i-1", draining(before));
    write("i-1", after);
    BOOST_TEST(!isReady("i-1"));
}

// Prevents requests to a server that left without draining and whose removed entry a late heartbeat has written again.
BOOST_AUTO_TEST_CASE(aRemovedEntryThatIsWrittenAgainIsUsedOnceItsServerHasRenewedIt)
{
    write("i-1", server("10.0.0.1:80", 200));
    write("i-2", server("10.0.0.2:80", 200));
    start();
    remove("i-1");
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(!find("i-1"));
    // Nothing renews the entry, so the platform removes it.
    control.advance(heartbeat * 3);
    remove("i-1");
    confirmAfter(heartbeat * 5);
    BOOST_TEST(!find("i-1"));
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(!find("i-1"));
    confirmAfter(heartbeat * 4);
    BOOST_TEST(isReady("i-1"));
}

// Prevents refusals while a service has no other server than one whose entry was removed and written again.
BOOST_AUTO_TEST_CASE(theOnlyServerOfAServiceIsUsedAsSoonAsItsEntryIsWrittenAgain)
{
    write("i-1", server("10.0.0.1:80", 200));
    write("i-2", server("10.0.0.2:80", 200, "plain"));
    start();
    remove("i-1");
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(isReady("i-1"));
}

// Prevents a delay for a server whose entry expired while the store was away.
BOOST_AUTO_TEST_CASE(aServerWhoseEntryExpiredInAnOutageIsUsedAtOnce)
{
    write("i-1", server("10.0.0.1:80", 200));
    write("i-2", server("10.0.0.2:80", 200));
    start();
    breakStore();
    remove("i-1");
    BOOST_TEST(isReady("i-1"));
    control.advance(Milliseconds(3000));
    control.runPosted();
    BOOST_TEST(!find("i-1"));
    write("i-1", server("10.0.0.1:80", 200));
    BOOST_TEST(isReady("i-1"));
}

// Prevents a removed entry from being written again by a late heartbeat of an earlier run.
BOOST_AUTO_TEST_CASE(aLateEntryOfTheFormerRunIsIgnoredAfterTheRemoval)
{
    write("i-1", server("10.0.0.1:80", 200));
    start();
    remove("i-1");
    write("i-1", server("10.0.0.1:80", 100));
    BOOST_TEST(!find("i-1"));
    write("i-1", server("10.0.0.1:80", 300));
    BOOST_TEST(isReady("i-1"));
}

// Prevents use of an entry that another writer has overwritten: a server that reports its start time always does, so an
// entry without it isn't its own.
BOOST_AUTO_TEST_CASE(anEntryThatLosesItsStartTimeListsNoServer)
{
    write("i-1", server("10.0.0.1:80", 200));
    write("i-2", server("10.0.0.2:80", 0));
    start();
    BOOST_TEST(find("i-2"));
    write("i-1", server("10.0.0.1:80", 0));
    BOOST_TEST(!find("i-1"));
    write("i-2", server("10.0.0.2:80", 0));
    BOOST_TEST(find("i-2"));
}

// Prevents an entry of an unconfigured service from hiding a server: it had the server's address and was written later,
// so the server got no requests any more.
BOOST_AUTO_TEST_CASE(anEntryOfAServiceThatIsNotConfiguredHidesNoServer)
{
    write("i-1", server("10.0.0.1:80", 100));
    write("i-2", server("10.0.0.1:80", 200, "unheard-of"), 2);
    start();
    BOOST_TEST(find("i-1"));
    BOOST_TEST(!find("i-2"));
    configure({ "engines", "plain", "unheard-of" });
    BOOST_TEST(!find("i-1"));
    BOOST_TEST(find("i-2"));
}

// Prevents a stale entry from hiding a server that returns to its address: another server used the address meanwhile,
// and the platform hadn't removed its entry yet. The returning server keeps its ID and so the age of its entry, which
// made it look older.
BOOST_AUTO_TEST_CASE(ofTwoEntriesAtOneAddressTheLaterStartTimeCounts)
{
    write("i-1", server("10.0.0.1:80", 100), 1);
    write("i-2", server("10.0.0.1:80", 200), 2);
    start();
    BOOST_TEST(find("i-2"));
    write("i-1", server("10.0.0.1:80", 300), 1);
    BOOST_TEST(find("i-1"));
    BOOST_TEST(!find("i-2"));
    // An entry without a start time doesn't hide one that has it.
    write("i-3", server("10.0.0.1:80", 0), 3);
    BOOST_TEST(find("i-1"));
}

BOOST_AUTO_TEST_CASE(withoutStartTimesTheEntryThatWasListedLaterCounts)
{
    write("i-1", server("10.0.0.1:80", 0), 1);
    write("i-2", server("10.0.0.1:80", 0), 2);
    start();
    BOOST_TEST(!find("i-1"));
    BOOST_TEST(find("i-2"));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
