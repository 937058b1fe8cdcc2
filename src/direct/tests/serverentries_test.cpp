#include "direct/internal/serverentries.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::direct {

namespace {

using catalog::StartTime;
using catalog::Upstream;
using catalog::UpstreamState;
using framework::Milliseconds;
using framework::SteadyTime;
using Removal = ServerEntries::Removal;

constexpr Milliseconds heartbeat { 1000 };
/// After this the platform has removed what nobody renews.
constexpr Milliseconds decisionTime { 4000 };

struct Fixture {
    void write(const std::string& name, std::uint64_t started, std::uint64_t updates,
        UpstreamState state = UpstreamState::Ready)
    {
        Upstream upstream;
        upstream.instance = catalog::InstanceId(name);
        upstream.endpoint = framework::Endpoint(name + ":80");
        upstream.service = framework::ServiceName("plain");
        upstream.started = StartTime(started);
        upstream.updates = updates;
        upstream.state = state;
        entries.apply({ name, {}, objectstore::StoreRevision(++revision), 1 }, upstream, now);
    }

    /// The store has answered all the time, and confirms the entries.
    void confirmAfter(Milliseconds time)
    {
        now += time;
        entries.decide(now, answeringSince);
        entries.confirmWhereNeeded();
    }

    const Upstream* find(const std::string& name)
    {
        entries.confirmWhereNeeded();
        listed = entries.servers();
        for (const Upstream& upstream : listed) {
            if (upstream.instance == catalog::InstanceId(name))
                return &upstream;
        }
        return nullptr;
    }

    bool isReady(const std::string& name)
    {
        const Upstream* const found = find(name);
        return found && found->state == UpstreamState::Ready;
    }

    ServerEntries entries { heartbeat };
    SteadyTime now { std::chrono::hours(1) };
    SteadyTime answeringSince = now;
    std::uint64_t revision = 0;
    std::vector<Upstream> listed;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ServerEntriesTests, Fixture)

BOOST_AUTO_TEST_CASE(theNewestServerAtAnAddressIsListed)
{
    write("a", 100, 1);
    write("b", 100, 1);
    BOOST_TEST(find("a"));
    BOOST_TEST(find("b"));
    entries.remove("a", Removal::Deleted, now);
    BOOST_TEST(!find("a"));
}

// Prevents a server from being ignored for good after another writer has named a count that isn't the server's.
BOOST_AUTO_TEST_CASE(aCountOfAnotherWriterIsForgottenWhenTheServerKeepsToItsOwn)
{
    write("a", 100, 5);
    write("a", 100, UINT64_MAX);
    write("a", 100, 6);
    BOOST_REQUIRE(find("a"));
    BOOST_TEST(find("a")->updates == UINT64_MAX);
    confirmAfter(decisionTime);
    BOOST_TEST(find("a")->updates == 6U);
    write("a", 100, 7);
    BOOST_TEST(find("a")->updates == 7U);
}

// Prevents a server from being ignored for good whose clock was set back before it started again, or for which another
// writer has named a start in the future.
BOOST_AUTO_TEST_CASE(anEarlierStartThatStandsIsAccepted)
{
    write("a", 200, 1);
    write("a", 100, 1);
    BOOST_TEST(find("a")->started->value() == 200U);
    confirmAfter(decisionTime);
    BOOST_TEST(find("a")->started->value() == 100U);
}

// Prevents a late write from counting that the server has replaced meanwhile.
BOOST_AUTO_TEST_CASE(aLateContentThatIsReplacedNeverCounts)
{
    write("a", 200, 5);
    write("a", 100, 9);
    write("a", 200, 6);
    confirmAfter(decisionTime);
    BOOST_TEST(find("a")->started->value() == 200U);
    BOOST_TEST(find("a")->updates == 6U);
}

// Prevents requests to a leaving server because time passes in which the store is away, so that nothing can replace a
// late write.
BOOST_AUTO_TEST_CASE(nothingIsDecidedForTheTimeOfAnOutage)
{
    write("a", 200, 5, UpstreamState::Draining);
    write("b", 200, 1);
    write("a", 100, 9);
    write("c", 100, 1);
    entries.remove("c", Removal::Deleted, now);
    write("c", 100, 1);
    now += decisionTime;
    answeringSince = now;
    confirmAfter(Milliseconds(0));
    BOOST_TEST(!isReady("a"));
    BOOST_TEST(!find("c"));
    confirmAfter(decisionTime);
    BOOST_TEST(isReady("c"));
}

// Prevents a restart under the same id from waiting for what the run before it has said.
BOOST_AUTO_TEST_CASE(aRestartServesAtOnceWhateverTheFormerRunSaid)
{
    write("b", 100, 1);
    write("a", 100, 5, UpstreamState::Draining);
    write("a", 200, 1);
    BOOST_TEST(isReady("a"));
    entries.remove("a", Removal::Deleted, now);
    write("a", 300, 1);
    BOOST_TEST(isReady("a"));
}

// Prevents memory from growing with each server that is removed.
BOOST_AUTO_TEST_CASE(removedServersAreForgotten)
{
    constexpr std::size_t removed = 10000;
    for (std::size_t server = 0; server < removed; ++server) {
        write(std::to_string(server), 100, 1);
        entries.remove(std::to_string(server), Removal::Deleted, now);
    }
    write("stays", 100, 1);
    entries.forgetRemoved(now);
    BOOST_TEST(entries.size() < removed / 2);
    entries.forgetRemoved(now + std::chrono::hours(2));
    BOOST_TEST(entries.size() == 1U);
    BOOST_TEST(find("stays"));
}

// Prevents entries that list names without end from using up the memory, one alone or many together.
BOOST_AUTO_TEST_CASE(theNamesOfEntriesHaveALimitTogether)
{
    const auto namesOf = [](std::size_t count) {
        return std::vector<framework::ModelName>(count, framework::ModelName(std::string(100, 'm')));
    };
    const auto write = [&](const std::string& name, std::size_t names) {
        Upstream upstream;
        upstream.instance = catalog::InstanceId(name);
        upstream.endpoint = framework::Endpoint(name + ":80");
        upstream.service = framework::ServiceName("engines");
        upstream.cachedWeights.disk = namesOf(names);
        entries.apply({ name, {}, objectstore::StoreRevision(++revision), 1 }, upstream, now);
    };
    const auto keptNames = [&] {
        std::size_t kept = 0;
        for (const Upstream& upstream : entries.servers())
            kept += upstream.cachedWeights.disk.size();
        return kept;
    };
    write("sound", 100);
    write("large", 2000);
    BOOST_TEST(keptNames() == 100U);
    for (int count = 0; count < 1000; ++count)
        write("e" + std::to_string(count), 300);
    BOOST_TEST(entries.servers().size() == 1002U);
    BOOST_TEST(keptNames() < 30000U);
    BOOST_TEST(keptNames() > 20000U);
    // An entry that is renewed keeps its names, though there is no room for more.
    const std::size_t kept = keptNames();
    for (int renewal = 0; renewal < 3; ++renewal) {
        write("e0", 300);
        write("sound", 100);
    }
    BOOST_TEST(keptNames() == kept);
    for (int count = 0; count < 1000; ++count)
        entries.remove("e" + std::to_string(count), Removal::Deleted, now);
    write("large", 300);
    BOOST_TEST(keptNames() == 400U);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
