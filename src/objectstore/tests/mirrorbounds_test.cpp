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

/// A deletion has to be known this soon after it, …
constexpr Milliseconds maxDeletionDelay { 2000 };
/// … or this soon after the path to the store is back.
constexpr Milliseconds maxOutageDelay { 3000 };
/// Servers whose entries lapsed in an outage are registered again this soon after it.
constexpr Milliseconds reregistrationTime { 1800 };
constexpr Milliseconds networkDelay { 2 };
constexpr Milliseconds step { 5 };

/// What the store does with a call.
enum class Availability : std::uint8_t {
    Served,
    Silent, ///< nothing comes back, also not to calls under way
    Refused, ///< 503
    RefusedForLong, ///< 429 with a long time to wait
};

/// A store in simulated time: calls take the network's delay, and those that it doesn't answer fail at their deadline.
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

    /// Calls under way are lost when the store falls silent.
    void setAvailability(Availability availability)
    {
        availability_ = availability;
        for (const auto& call : calls_)
            call->isLost = call->isLost || availability == Availability::Silent;
    }

    /// Watches that wait hear nothing of what changes meanwhile.
    void setWatchesStalled(bool areStalled) { areWatchesStalled_ = areStalled; }

    /// Ends the watches that wait, as a restart of the store's process would.
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
        if (availability_ == Availability::RefusedForLong)
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

/// A mirror of the servers "a", "b" and "c", as a router keeps it.
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
            [this](const std::string& name) { known.erase(name); }, [] {}, [](SteadyTime) {} };
    }

    void runFor(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += step) {
            control.advance(step);
            control.runPosted();
        }
    }

    /// From now until "b" is gone, or 20 s.
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

/// Moments of a disturbance within the cycle of watches and tries, and seeds of the pauses.
void forEachPhase(const std::function<void(Milliseconds phase, std::uint64_t seed)>& runScenario)
{
    constexpr Milliseconds longest { 3500 };
    constexpr std::uint64_t seeds = 3;
    for (Milliseconds phase(0); phase < longest; phase += Milliseconds(70)) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            runScenario(phase, seed);
    }
}

/// The longest time from the end of the outage until a server that left during it is known to be gone.
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

// A router that was cut off from the store went on using a server for over three seconds after it could have known.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringAnOutageIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Silent, false).count() < maxOutageDelay.count());
}

// The same where the store had dropped its history meanwhile, so that only a list told.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringAnOutageIsRemovedInTimeWithoutHistory)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Silent, true).count() < maxOutageDelay.count());
}

BOOST_AUTO_TEST_CASE(aServerDeletedWhileTheStoreRefusedCallsIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Refused, false).count() < maxOutageDelay.count());
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::Refused, true).count() < maxOutageDelay.count());
}

// A store that asks for a long pause is asked again before its answer would be too late.
BOOST_AUTO_TEST_CASE(aServerDeletedDuringALongRetryAfterIsRemovedInTime)
{
    BOOST_TEST(maxRemovalDelayAfterOutage(Availability::RefusedForLong, true).count() < maxOutageDelay.count());
}

// Each new list gave the missing entry another full period, so that a store that drops its history often kept it for
// good.
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

// The store dropped its history between a watch and the next, and the list that told of the leaving counted as one
// after an outage, though the store had answered all the time.
BOOST_AUTO_TEST_CASE(aMissingEntryWithoutAnOutageIsRemovedInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        MirrorFixture router(seed);
        router.runFor(phase);
        // A change, after which the mirror pauses before its next watch.
        router.store.put("a");
        router.runFor(Milliseconds(20));
        router.store.remove("b");
        router.store.forgetHistory();
        BOOST_TEST(router.timeUntilRemoved().count() < maxDeletionDelay.count());
    });
}

// Watches heard nothing for a second, were cut, and the history was gone: a server that left in that second was used
// for over two.
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

// A watch that is cut in ordinary times isn't an outage: what is deleted just then is gone in time.
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

// The answer that told of the leaving was lost, and its connection stayed silent.
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

// All entries lapsed in an outage and came back within two seconds: the servers live, and requests go on to them.
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
