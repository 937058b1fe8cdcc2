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
constexpr Milliseconds deletionNotice { 2000 };
/// … or this soon after the path to the store is back.
constexpr Milliseconds outageNotice { 3000 };
/// Servers whose entries lapsed in an outage are registered again this soon after it.
constexpr Milliseconds reregistration { 1800 };
constexpr Milliseconds networkDelay { 2 };
constexpr Milliseconds step { 5 };

/// What the store does with a call.
enum class Reach : std::uint8_t {
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
        answerAll();
    }

    void remove(const std::string& name)
    {
        objects_.erase(name);
        history_.push_back({ { name, name, StoreRevision(++revision_) }, true });
        answerAll();
    }

    void forgetHistory()
    {
        history_.clear();
        historyFrom_ = ++revision_;
        answerAll();
    }

    /// Calls under way are lost when the store falls silent.
    void setReach(Reach reach)
    {
        reach_ = reach;
        for (const auto& call : calls_)
            call->isLost = call->isLost || reach == Reach::Silent;
    }

    /// Watches that wait hear nothing of what changes meanwhile.
    void setWatchesDeaf(bool areDeaf) { areWatchesDeaf_ = areDeaf; }

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
                const bool isNews = since.value() < historyFrom_ || !changesSince(since).events.empty();
                return (isNews && !areWatchesDeaf_) || until.hasPassed(control_.now());
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
        call->isLost = reach_ == Reach::Silent;
        call->deadline = control_.runAt(deadline, [this, call] { end(call, error("no answer in time")); });
        calls_.insert(call);
        checkSoon(call);
    }

    void checkSoon(const CallPointer& call)
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
        if (reach_ == Reach::Refused)
            return end(call, error("status 503"));
        if (reach_ == Reach::RefusedForLong)
            return end(call, error("status 429", Milliseconds(10000)));
        if (call->isDue())
            return end(call, std::nullopt);
        checkSoon(call);
    }

    void answerAll()
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
    Reach reach_ = Reach::Served;
    bool areWatchesDeaf_ = false;
    std::set<CallPointer> calls_;
};

/// A mirror of the servers "a", "b" and "c", as a router keeps it.
struct Mirrored {
    explicit Mirrored(std::uint64_t seed)
        : mirror(store, control, control, settings(), observers(), seed)
    {
        for (const std::string name : { "a", "b", "c" })
            store.put(name);
        mirror.start();
        pass(Milliseconds(1000));
    }

    static MirrorSettings settings()
    {
        MirrorSettings made;
        made.kind = "servers";
        made.pauseAfterChange = Milliseconds(400);
        return made;
    }

    ObjectMirror::Observers observers()
    {
        return { [this](const FeedObject& object) { known.insert(object.name); },
            [this](const std::string& name) { known.erase(name); }, [] {}, [](SteadyTime) {} };
    }

    void pass(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += step) {
            control.advance(step);
            control.runPosted();
        }
    }

    /// From now until "b" is gone, or 20 s.
    Milliseconds untilGone()
    {
        const SteadyTime from = control.now();
        while (known.contains("b") && control.now() - from < Milliseconds(20000))
            pass(step);
        return std::chrono::duration_cast<Milliseconds>(control.now() - from);
    }

    ManualControl control;
    SimulatedStore store { control };
    std::set<std::string> known;
    ObjectMirror mirror;
};

/// Moments of a disturbance within the cycle of watches and tries, and seeds of the pauses.
void forEachPhase(const std::function<void(Milliseconds phase, std::uint64_t seed)>& play)
{
    constexpr Milliseconds longest { 3500 };
    constexpr std::uint64_t seeds = 3;
    for (Milliseconds phase(0); phase < longest; phase += Milliseconds(70)) {
        for (std::uint64_t seed = 1; seed <= seeds; ++seed)
            play(phase, seed);
    }
}

/// The longest time from the end of the outage until a server that left during it is known to be gone.
Milliseconds longestAfterOutage(Reach reach, bool isHistoryForgotten)
{
    Milliseconds longest(0);
    forEachPhase([&](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.store.setReach(reach);
        router.pass(Milliseconds(4000));
        router.store.remove("b");
        router.pass(Milliseconds(5000) + phase);
        if (isHistoryForgotten)
            router.store.forgetHistory();
        router.store.setReach(Reach::Served);
        longest = std::max(longest, router.untilGone());
        router.pass(Milliseconds(3000));
        BOOST_TEST(router.known == std::set<std::string>({ "a", "c" }));
    });
    return longest;
}

} // namespace

BOOST_AUTO_TEST_SUITE(MirrorBounds)

// A router that was cut off from the store went on using a server for over three seconds after it could have known.
BOOST_AUTO_TEST_CASE(aServerThatLeftDuringACutIsGoneInTimeAfterIt)
{
    BOOST_TEST(longestAfterOutage(Reach::Silent, false).count() < outageNotice.count());
}

// The same where the store had dropped its history meanwhile, so that only a list told.
BOOST_AUTO_TEST_CASE(aServerThatLeftDuringACutIsGoneInTimeThoughTheHistoryIsToo)
{
    BOOST_TEST(longestAfterOutage(Reach::Silent, true).count() < outageNotice.count());
}

BOOST_AUTO_TEST_CASE(aServerThatLeftWhileTheStoreRefusedIsGoneInTimeAfterIt)
{
    BOOST_TEST(longestAfterOutage(Reach::Refused, false).count() < outageNotice.count());
    BOOST_TEST(longestAfterOutage(Reach::Refused, true).count() < outageNotice.count());
}

// A store that asks for a long pause is asked again before its answer would be too late.
BOOST_AUTO_TEST_CASE(aServerThatLeftIsGoneInTimeAfterALongRetryAfter)
{
    BOOST_TEST(longestAfterOutage(Reach::RefusedForLong, true).count() < outageNotice.count());
}

// Each new list gave the missing entry another full period, so that a store that drops its history often kept it for
// good.
BOOST_AUTO_TEST_CASE(listsInARowDoNotProlongAMissingEntry)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.pass(phase);
        router.store.remove("b");
        const SteadyTime removedAt = router.control.now();
        for (int list = 0; list < 40 && router.known.contains("b"); ++list) {
            router.store.forgetHistory();
            router.pass(Milliseconds(100));
        }
        BOOST_TEST((router.control.now() - removedAt < deletionNotice));
    });
}

// The store dropped its history between a watch and the next, and the list that told of the leaving counted as one
// after an outage, though the store had answered all the time.
BOOST_AUTO_TEST_CASE(withoutAnOutageAMissingEntryIsGoneAtOnce)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.pass(phase);
        // A change, after which the mirror pauses before its next watch.
        router.store.put("a");
        router.pass(Milliseconds(20));
        router.store.remove("b");
        router.store.forgetHistory();
        BOOST_TEST(router.untilGone().count() < deletionNotice.count());
    });
}

// Watches heard nothing for a second, were cut, and the history was gone: a server that left in that second was used
// for over two.
BOOST_AUTO_TEST_CASE(aServerThatLeftWhileWatchesWereDeafIsGoneInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.pass(phase);
        router.store.setWatchesDeaf(true);
        router.store.remove("b");
        const SteadyTime removedAt = router.control.now();
        router.pass(Milliseconds(1000));
        router.store.setWatchesDeaf(false);
        router.store.forgetHistory();
        router.store.cutWatches();
        router.untilGone();
        BOOST_TEST((router.control.now() - removedAt < deletionNotice));
    });
}

// A watch that is cut in ordinary times isn't an outage: what is deleted just then is gone in time.
BOOST_AUTO_TEST_CASE(aServerThatLeavesAsAWatchIsCutIsGoneInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.pass(phase);
        router.store.cutWatches();
        router.store.remove("b");
        BOOST_TEST(router.untilGone().count() < deletionNotice.count());
    });
}

// The answer that told of the leaving was lost, and its connection stayed silent.
BOOST_AUTO_TEST_CASE(aServerWhoseLeavingWasInALostAnswerIsGoneInTime)
{
    forEachPhase([](Milliseconds phase, std::uint64_t seed) {
        Mirrored router(seed);
        router.pass(phase);
        router.store.setReach(Reach::Silent);
        router.store.remove("b");
        router.pass(Milliseconds(10));
        router.store.setReach(Reach::Served);
        BOOST_TEST(router.untilGone().count() < outageNotice.count());
    });
}

// All entries lapsed in an outage and came back within two seconds: the servers live, and requests go on to them.
BOOST_AUTO_TEST_CASE(serversWhoseEntriesLapsedInAnOutageAreKept)
{
    for (const Reach reach : { Reach::Silent, Reach::Refused }) {
        forEachPhase([reach](Milliseconds phase, std::uint64_t seed) {
            Mirrored router(seed);
            router.store.setReach(reach);
            router.pass(Milliseconds(3000) + phase);
            for (const std::string name : { "a", "b", "c" })
                router.store.remove(name);
            router.store.setReach(Reach::Served);
            const SteadyTime returnedAt = router.control.now();
            while (router.control.now() - returnedAt < reregistration) {
                BOOST_TEST(router.known.size() == 3U);
                router.pass(Milliseconds(50));
            }
            for (const std::string name : { "a", "b", "c" })
                router.store.put(name);
            router.pass(Milliseconds(3000));
            BOOST_TEST(router.known.size() == 3U);
        });
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::objectstore
