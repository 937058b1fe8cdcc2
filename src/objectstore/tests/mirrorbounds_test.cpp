#include "framework/testing/manualcontrol.h"
#include "objectstore/objectmirror.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <vector>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::ManualControl;
using framework::Milliseconds;
using framework::Result;
using framework::SteadyTime;

/// Without an outage, the mirror has to remove a deleted server within this time from the deletion.
constexpr Milliseconds maxDeletionDelay { 2000 };
/// The mirror has to remove a server that was deleted during an outage within this time from the end of the outage.
constexpr Milliseconds maxOutageDelay { 3000 };
/// Servers whose entries expired during an outage register again within this time from its end.
constexpr Milliseconds reregistrationTime { 1800 };
constexpr Milliseconds networkDelay { 2 };
constexpr Milliseconds step { 5 };

/// How the store treats calls.
enum class Availability : std::uint8_t {
    Served,
    Silent, ///< no call is answered, not even a pending one
    Refused, ///< calls fail with status 503
    RefusedWithRetryAfter, ///< calls fail with status 429 and a long `Retry-After`
};

/// A store in simulated time. Calls take the network delay, and calls without an answer fail at their deadline.
class SimulatedStore final : public IObjectFeed {
public:
    explicit SimulatedStore(ManualControl& control)
        : control_(control)
    {
    }

    void put(const std::string& name)
    {
        objects_[name] = ++revision_;
        history_.push_back({ { name, name, StoreRevision(revision_) }, false });
        checkAllCalls();
    }

    void remove(const std::string& name)
    {
        objects_.erase(name);
        history_.push_back({ { name, name, StoreRevision(++revision_) }, true });
        checkAllCalls();
    }

    void forgetHistory()
    {
        history_.clear();
        historyFrom_ = ++revision_;
        checkAllCalls();
    }

    /// Pending calls are lost when the store becomes silent.
    void setAvailability(Availability availability)
    {
        availability_ = availability;
        for (const auto& call : calls_)
            call->isLost = call->isLost || availability == Availability::Silent;
    }

    /// While watches are stalled, waiting watches don't report changes.
    void setWatchesStalled(bool areStalled) { areWatchesStalled_ = areStalled; }

    /// Fails all pending calls with a connection error, as a restart of the store's process would.
    void cutWatches()
    {
        const auto calls = calls_;
        for (const auto& call : calls)
            end(call, error("connection reset"));
    }

    void list(const std::string& after, Deadline deadline, PageHandler handler) override
    {
        send(
            deadline,
            [this, after, handler](const std::optional<Error>& error) {
                if (error)
                    return handler(*error);
                handler(pageAfter(after));
            },
            [] { return true; });
    }

    void watch(StoreRevision since, Milliseconds wait, Deadline deadline, ChangesHandler handler) override
    {
        const Deadline until = Deadline::after(control_.now(), wait);
        send(
            deadline,
            [this, since, handler](const std::optional<Error>& error) {
                if (error)
                    return handler(*error);
                if (since.value() < historyFrom_)
                    return handler(Error { ErrorCode::NotFound, "watch", "store", "history gone" });
                handler(changesSince(since));
            },
            [this, since, until] {
                const bool hasChange = since.value() < historyFrom_ || !changesSince(since).events.empty();
                return (hasChange && !areWatchesStalled_) || until.hasPassed(control_.now());
            });
    }

private:
    struct Call {
        std::function<void(const std::optional<Error>&)> finish;
        std::function<bool()> isDue;
        std::unique_ptr<framework::Timer> deadline;
        std::unique_ptr<framework::Timer> next;
        bool isLost = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    static Error error(const std::string& detail, std::optional<Milliseconds> retryAfter = std::nullopt)
    {
        return Error { ErrorCode::PlatformUnavailable, "call", "store", detail, framework::Execution::NotRun,
            retryAfter };
    }

    void send(Deadline deadline, std::function<void(const std::optional<Error>&)> finish, std::function<bool()> isDue)
    {
        const auto call = std::make_shared<Call>();
        call->finish = std::move(finish);
        call->isDue = std::move(isDue);
        call->isLost = availability_ == Availability::Silent;
        call->deadline = control_.runAt(deadline, [this, call] { end(call, error("no answer in time")); });
        calls_.insert(call);
        scheduleCheck(call);
    }

    void scheduleCheck(const CallPointer& call)
    {
        call->next
            = control_.runAt(Deadline::after(control_.now(), networkDelay), [this, call = std::weak_ptr<Call>(call)] {
                  if (const auto known = call.lock())
                      check(known);
              });
    }

    void check(const CallPointer& call)
    {
        if (call->isLost)
            return;
        if (availability_ == Availability::Refused)
            return end(call, error("status 503"));
        if (availability_ == Availability::RefusedWithRetryAfter)
            return end(call, error("status 429", Milliseconds(10000)));
        if (call->isDue())
            return end(call, std::nullopt);
        scheduleCheck(call);
    }

    void checkAllCalls()
    {
        const auto calls = calls_;
        for (const auto& call : calls)
            check(call);
    }

    void end(const CallPointer& call, const std::optional<Error>& error)
    {
        if (calls_.erase(call) == 0)
            return;
        call->deadline.reset();
        call->next.reset();
        control_.post([finish = call->finish, error] { finish(error); });
    }

    FeedPage pageAfter(const std::string& after) const
    {
        constexpr std::size_t pageSize = 2;
        FeedPage page { {}, false, StoreRevision(revision_) };
        for (const auto& [name, revision] : objects_) {
            if (name <= after)
                continue;
            page.hasMore = page.objects.size() == pageSize;
            if (page.hasMore)
                break;
            page.objects.push_back({ name, name, StoreRevision(revision) });
        }
        return page;
    }

    FeedChanges changesSince(StoreRevision since) const
    {
        FeedChanges changes { {}, StoreRevision(revision_) };
        for (const FeedEvent& event : history_) {
            if (event.object.revision > since)
                changes.events.push_back(event);
        }
        return changes;
    }

    ManualControl& control_;
    std::map<std::string, std::uint64_t> objects_;
    std::vector<FeedEvent> history_;
    std::uint64_t revision_ = 1;
    std::uint64_t historyFrom_ = 0;
    Availability availability_ = Availability::Served;
    bool areWatchesStalled_ = false;
    std::set<CallPointer> calls_;
};

/// A mirror of the servers "a", "b" and "c" with the settings of a router.
struct MirrorFixture {
    explicit MirrorFixture(std::uint64_t seed)
        : mirror(store, control, control, settings(), observers(), seed)
    {
        for (const std::string name : { "a", "b", "c" })
            store.put(name);
        mirror.start();
        runFor(Milliseconds(1000));
    }

    static MirrorSettings settings()
    {
        MirrorSettings mirrorSettings;
        mirrorSettings.kind = "servers";
        mirrorSettings.pauseAfterChange = Milliseconds(400);
        return mirrorSettings;
    }

    ObjectMirror::Observers observers()
    {
        return { [this](const FeedObject& object) { known.insert(object.name); },
            [this](const std::string& name, ObjectMirror::Removal) { known.erase(name); }, [] {}, [](SteadyTime) {} };
    }

    void runFor(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += step) {
            control.advance(step);
            control.runPosted();
        }
    }

    /// Runs until the mirror has removed "b", at most 20 s, and returns the time that this took.
    Milliseconds timeUntilRemoved()
    {
        const SteadyTime from = control.now();
        while (known.contains("b") && control.now() - from < Milliseconds(20000))
            runFor(step);
        return std::chrono::duration_cast<Milliseconds>(control.now() - from);
    }

    ManualControl control;
    SimulatedStore store { control };
    std::set<std::string> known;
    ObjectMirror mirror;
};

/// Runs a scenario for each combination of a phase, which shifts the fault within the cycle of watches and retries, and
/// a seed for the backoff.
void forEachPhase(const std::function<void(Milliseconds phase, std::uint64_t seed)>& runScenario)
{
    constexpr Milliseconds longest { 3500 };
    constexpr std::uint64_t seeds = 3;
    for (Milliseconds phase(0); phase < longest; phase += Milliseconds(70)) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            runScenario(phase, seed);
    }
}

/// Returns the maximum time from the end of an outage until the mirror removes a server that was deleted during it.
Milliseconds maxRemovalDelayAfterOutage(Availability availability, bool isHistoryForgotten)
{
    Milliseconds longest(0);
    forEachPhase([&](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.store.setAvailability(availability);
        router.runFor(Milliseconds(4000));
        router.store.remove("b");
        router.runFor(Milliseconds(5000) + phase);
        if (isHistoryForgotten)
            router.store.forgetHistory();
        router.store.setAvailability(Availability::Served);
        longest = std::max(longest, router.timeUntilRemoved());
        router.runFor(Milliseconds(3000));
        BOOST_TEST(router.known == std::set<std::string>({ "a", "c" }));
    });
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MirrorBounds)

// Prevents a router from using a deleted server for more than three seconds after its connection to the store is back.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringAnOutageIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Silent, false).count() < maxOutageDelay.count());
}

// The bound also holds if the store has dropped its history meanwhile, so that only a list shows the deletion.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringAnOutageIsRemovedInTimeWithoutHistory)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Silent, true).count() < maxOutageDelay.count());
}

BOOST_AUTO_TEST_CASE(aServerDeletedWhileTheStoreRefusedCallsIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Refused, false).count() < maxOutageDelay.count());
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Refused, true).count() < maxOutageDelay.count());
}

// A long `Retry-After` is cut, so that the mirror calls the store again in time.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringALongRetryAfterIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::RefusedWithRetryAfter, true).count() < maxOutageDelay.count());
}

// Prevents a missing entry from being kept forever when the store drops its history often: each new list would start
// another full grace period.
BOOST_AUTO_TEST_CASE(consecutiveListsDoNotExtendAMissingEntry)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        router.store.remove("b");
        const SteadyTime removedAt = router.control.now();
        for (int list = 0; list < 40 && router.known.contains("b"); ++list) {
            router.store.forgetHistory();
            router.runFor(Milliseconds(100));
        }
        BOOST_TEST((router.control.now() - removedAt < maxDeletionDelay));
    });
}

// Prevents a list without an outage from being treated as one after an outage: the store dropped its history between
// two watches, and the list that showed the deletion started a grace period although the store had answered all the
// time.
BOOST_AUTO_TEST_CASE(aMissingEntryWithoutAnOutageIsRemovedInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        // After this change the mirror pauses before its next watch.
        router.store.put("a");
        router.runFor(Milliseconds(20));
        router.store.remove("b");
        router.store.forgetHistory();
        BOOST_TEST(router.timeUntilRemoved().count() < maxDeletionDelay.count());
    });
}

// Watches report nothing for a second and are cut, and the history is gone. Prevents a server that was deleted in that
// second from being used for more than two seconds.
BOOST_AUTO_TEST_CASE(aServerDeletedWhileWatchesStalledIsRemovedInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        router.store.setWatchesStalled(true);
        router.store.remove("b");
        const SteadyTime removedAt = router.control.now();
        router.runFor(Milliseconds(1000));
        router.store.setWatchesStalled(false);
        router.store.forgetHistory();
        router.store.cutWatches();
        router.timeUntilRemoved();
        BOOST_TEST((router.control.now() - removedAt < maxDeletionDelay));
    });
}

// A watch that is cut while the store is available isn't an outage, so a server deleted at that moment is removed
// without a grace period.
BOOST_AUTO_TEST_CASE(aServerDeletedWhenAWatchIsCutIsRemovedInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        router.store.cutWatches();
        router.store.remove("b");
        BOOST_TEST(router.timeUntilRemoved().count() < maxDeletionDelay.count());
    });
}

// The answer that reports the deletion is lost, and its connection stays silent.
BOOST_AUTO_TEST_CASE(aServerWhoseDeletionWasInALostAnswerIsRemovedInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        router.store.setAvailability(Availability::Silent);
        router.store.remove("b");
        router.runFor(Milliseconds(10));
        router.store.setAvailability(Availability::Served);
        BOOST_TEST(router.timeUntilRemoved().count() < maxOutageDelay.count());
    });
}

// All entries expire during an outage and are registered again within two seconds. The mirror keeps the servers, so
// that requests can still be sent to them.
BOOST_AUTO_TEST_CASE(serversWhoseEntriesExpiredDuringAnOutageAreKept)
{
    for (const Availability availability : { Availability::Silent, Availability::Refused }) {
        forEachPhase([availability](Milliseconds phase, std::uint64_t seed) {
            MirrorFixture router(seed);
            router.store.setAvailability(availability);
            router.runFor(Milliseconds(3000) + phase);
            for (const std::string name : { "a", "b", "c" })
                router.store.remove(name);
            router.store.setAvailability(Availability::Served);
            const SteadyTime returnedAt = router.control.now();
            while (router.control.now() - returnedAt < reregistrationTime) {
                BOOST_TEST(router.known.size() == 3U);
                router.runFor(Milliseconds(50));
            }
            for (const std::string name : { "a", "b", "c" })
                router.store.put(name);
            router.runFor(Milliseconds(3000));
            BOOST_TEST(router.known.size() == 3U);
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::objectstore
