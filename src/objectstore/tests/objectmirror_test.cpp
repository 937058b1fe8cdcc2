#include "framework/testing/manualcontrol.h"
#include "objectstore/objectmirror.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <new>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::ManualControl;
using framework::Milliseconds;

/// A feed that queues its calls until the test answers them.
class FakeFeed final : public IObjectFeed {
public:
    void list(const std::string& after, Deadline, PageHandler handler) override
    {
        lists.push_back({ after, std::move(handler) });
    }

    void watch(StoreRevision since, Milliseconds wait, Deadline, ChangesHandler handler) override
    {
        lastWait = wait;
        watches.push_back({ since, std::move(handler) });
    }

    void answerList(FeedPage page)
    {
        auto call = std::move(lists.front());
        lists.pop_front();
        call.second(std::move(page));
    }

    void answerWatch(framework::Result<FeedChanges> changes)
    {
        auto call = std::move(watches.front());
        watches.pop_front();
        call.second(std::move(changes));
    }

    Milliseconds lastWait { 0 };
    std::deque<std::pair<std::string, PageHandler>> lists;
    std::deque<std::pair<StoreRevision, ChangesHandler>> watches;
};

FeedObject object(const std::string& name, std::uint64_t revision)
{
    return { name, name + "@" + std::to_string(revision), StoreRevision(revision) };
}

std::string nameOf(std::size_t index) { return "n" + std::to_string(100000 + index); }

std::vector<FeedObject> objects(std::size_t first, std::size_t count)
{
    std::vector<FeedObject> made;
    for (std::size_t index = first; index < first + count; ++index)
        made.push_back(object(nameOf(index), 1));
    return made;
}

FeedPage page(std::vector<FeedObject> objects, std::uint64_t at)
{
    return { std::move(objects), false, StoreRevision(at) };
}

Error unavailable() { return Error { ErrorCode::PlatformUnavailable, "watch", "store", "silent" }; }

struct Fixture {
    Fixture()
        : mirror(feed, control, control, settings(), observers(), 1)
    {
        mirror.start();
    }

    static MirrorSettings settings()
    {
        MirrorSettings mirrorSettings;
        mirrorSettings.kind = "things";
        return mirrorSettings;
    }

    ObjectMirror::Observers observers()
    {
        return { [this](const FeedObject& changed) {
                    if (failures > 0) {
                        --failures;
                        throw std::bad_alloc();
                    }
                    values[changed.name] = std::any_cast<std::string>(changed.value);
                },
            [this](const std::string& name, ObjectMirror::Removal) { values.erase(name); }, [this] { ++listed; },
            [this](framework::SteadyTime at) { confirmedAt = at; } };
    }

    ManualControl control;
    FakeFeed feed;
    std::map<std::string, std::string> values;
    int listed = 0;
    framework::SteadyTime confirmedAt {};
    /// So many of the next changes can't be applied.
    int failures = 0;
    ObjectMirror mirror;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ObjectMirrors, Fixture)

BOOST_AUTO_TEST_CASE(pagesAreMergedAndTheWatchStartsAtTheFirstPage)
{
    feed.answerList({ { object("a", 1), object("b", 2) }, true, StoreRevision(5) });
    BOOST_REQUIRE(feed.lists.size() == 1U);
    BOOST_TEST(feed.lists.front().first == "b");
    feed.answerList({ { object("c", 7) }, false, StoreRevision(8) });
    BOOST_TEST(values.size() == 3U);
    BOOST_TEST(listed == 1);
    BOOST_REQUIRE(feed.watches.size() == 1U);
    BOOST_TEST(feed.watches.front().first == StoreRevision(5));
}

// Prevents a copy from standing still for good, as more has changed than can be read at once.
BOOST_AUTO_TEST_CASE(changesThatAreTooLargeAreListedAnew)
{
    feed.answerList(page({ object("a", 1), object("b", 1) }, 1));
    feed.answerWatch(Error { ErrorCode::TooLarge, "watch", "store", "" });
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList(page({ object("a", 2) }, 3));
    BOOST_TEST(values["a"] == "a@2");
    BOOST_TEST(!values.contains("b"));
    BOOST_REQUIRE(feed.watches.size() == 1U);
    BOOST_TEST(feed.watches.front().first == StoreRevision(3));
}

// Prevents a store that holds objects without number from using up the memory.
BOOST_AUTO_TEST_CASE(onlySoManyObjectsAreCopied)
{
    const std::size_t maxObjects = settings().maxObjects;
    feed.answerList(page(objects(0, maxObjects + 1000), 1));
    BOOST_TEST(values.size() == maxObjects);
    BOOST_TEST(listed == 1);
    feed.answerWatch(FeedChanges { { { object("x", 2), false }, { object(nameOf(0), 2), false } }, StoreRevision(2) });
    BOOST_TEST(values.size() == maxObjects);
    BOOST_TEST(values[nameOf(0)] == nameOf(0) + "@2");
}

// Prevents sound objects from being dropped because a list names more objects than are copied.
BOOST_AUTO_TEST_CASE(copiedObjectsOutlastAListThatNamesTooMany)
{
    const std::size_t maxObjects = settings().maxObjects;
    feed.answerList(page(objects(1000, maxObjects), 1));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "" });
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList(page(objects(0, maxObjects + 1000), 2));
    BOOST_TEST(values.size() == maxObjects);
    BOOST_TEST(values.contains(nameOf(1000)));
    BOOST_TEST(values.contains(nameOf(maxObjects + 999)));
}

// Prevents objects that were left out from never being copied, although there is room for them again.
BOOST_AUTO_TEST_CASE(objectsThatWereLeftOutAreCopiedOnceThereIsRoom)
{
    const std::size_t maxObjects = settings().maxObjects;
    feed.answerList(page(objects(0, maxObjects + 1), 1));
    BOOST_TEST(!values.contains(nameOf(maxObjects)));
    std::vector<FeedEvent> deletions;
    for (const FeedObject& deleted : objects(0, maxObjects / 2))
        deletions.push_back({ deleted, true });
    feed.answerWatch(FeedChanges { deletions, StoreRevision(2) });
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList(page(objects(maxObjects / 2, maxObjects / 2 + 1), 3));
    BOOST_TEST(values.contains(nameOf(maxObjects)));
}

// Prevents a list that never ends from using up the memory, and from being taken for the list of all objects.
BOOST_AUTO_TEST_CASE(anEndlessListIsBegunAnewAndRemovesNothing)
{
    feed.answerList(page({ object("z", 1) }, 1));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "" });
    control.advance(Milliseconds(1000));
    const std::size_t objectsOfPage = 500;
    std::size_t pages = 0;
    for (; !feed.lists.empty() && pages < 1000; ++pages)
        feed.answerList({ objects(pages * objectsOfPage, objectsOfPage), true, StoreRevision(2) });
    BOOST_TEST(pages < 1000U);
    BOOST_TEST(values.contains("z"));
    BOOST_TEST(values.size() <= settings().maxObjects);
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList(page({ object("z", 1) }, 3));
    control.advance(Milliseconds(5000));
    BOOST_TEST(values.size() == 1U);
}

// Prevents a page that comes again and again from being asked for without end, or taken for the list of all objects.
BOOST_AUTO_TEST_CASE(aListThatBringsNothingNewIsBegunAnewAndRemovesNothing)
{
    feed.answerList(page({ object("a", 1), object("z", 1) }, 1));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "" });
    control.advance(Milliseconds(1000));
    feed.answerList({ { object("a", 1) }, true, StoreRevision(2) });
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList({ { object("a", 1) }, true, StoreRevision(2) });
    BOOST_TEST(feed.lists.empty());
    BOOST_TEST(listed == 1);
    BOOST_TEST(values.contains("z"));
    control.advance(Milliseconds(1000));
    BOOST_TEST(feed.lists.size() == 1U);
}

// Prevents a process from never learning of a change again because applying one of them failed.
BOOST_AUTO_TEST_CASE(anObserverThatThrowsIsToldAgain)
{
    feed.answerList(page({ object("a", 1) }, 1));
    failures = 1;
    feed.answerWatch(FeedChanges { { { object("a", 2), false } }, StoreRevision(2) });
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(feed.lists.size() == 1U);
    feed.answerList(page({ object("a", 2) }, 2));
    BOOST_TEST(values["a"] == "a@2");
    BOOST_TEST(feed.watches.size() == 1U);
}

// Prevents a change that can never be applied from making a process list the store without pauses that grow.
BOOST_AUTO_TEST_CASE(listsAreSpacedWhileAChangeCanNotBeApplied)
{
    failures = 1000;
    int tries = 0;
    for (int step = 0; step < 500; ++step) {
        while (!feed.lists.empty()) {
            feed.answerList(page({ object("a", 1) }, 1));
            ++tries;
        }
        control.advance(Milliseconds(20));
    }
    // As during an outage.
    BOOST_TEST(tries <= 40);
    BOOST_TEST(tries >= 15);
}

// Prevents a changed route from reverting to its previous state: the watch reports the change, and then a list arrives
// that the store had read before the change.
BOOST_AUTO_TEST_CASE(aStaleListDoesNotRevertANewerChange)
{
    feed.answerList(page({ object("a", 3) }, 3));
    feed.answerWatch(FeedChanges { { { object("a", 9), false } }, StoreRevision(9) });
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "history gone" });
    control.advance(Milliseconds(1000));
    feed.answerList(page({ object("a", 3) }, 4));
    BOOST_TEST(values["a"] == "a@9");
}

// Prevents requests from failing after an outage: the store was down for five seconds, then all requests failed for
// two. The servers' entries had expired meanwhile, the store deleted them as it came back, and the servers registered
// again a second later.
BOOST_AUTO_TEST_CASE(entriesThatExpiredDuringAnOutageAreKeptForTheGracePeriod)
{
    feed.answerList(page({ object("a", 1), object("b", 2) }, 2));
    feed.answerWatch(unavailable());
    control.advance(Milliseconds(1000));
    feed.answerWatch(FeedChanges { { { object("a", 3), true }, { object("b", 4), true } }, StoreRevision(4) });
    BOOST_TEST(values.size() == 2U);
    control.advance(Milliseconds(1000));
    feed.answerWatch(FeedChanges { { { object("a", 5), false } }, StoreRevision(5) });
    control.advance(Milliseconds(2000));
    BOOST_TEST(values.contains("a"));
    BOOST_TEST(!values.contains("b"));
}

// An object that is missing after an outage may only have expired, so it is removed after the grace period if it hasn't
// come back.
BOOST_AUTO_TEST_CASE(anObjectMissingAfterAnOutageIsRemovedAfterTheGracePeriod)
{
    feed.answerList(page({ object("a", 1), object("b", 2) }, 2));
    feed.answerWatch(unavailable());
    control.advance(Milliseconds(1000));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "history gone" });
    control.advance(Milliseconds(500));
    feed.answerList(page({ object("a", 1) }, 9));
    BOOST_TEST(values.contains("b"));
    control.advance(Milliseconds(2300));
    BOOST_TEST(!values.contains("b"));
    BOOST_TEST(values.contains("a"));
}

// A missing object is removed after the grace period even if `outageNotice` is longer. Otherwise callers would wait for
// a server that no longer exists.
BOOST_AUTO_TEST_CASE(aLongOutageNoticeDoesNotExtendTheGracePeriod)
{
    MirrorSettings settings = Fixture::settings();
    settings.outageNotice = Milliseconds(10000);
    FakeFeed longNoticeFeed;
    ObjectMirror longNoticeMirror(longNoticeFeed, control, control, settings, observers(), 1);
    longNoticeMirror.start();
    longNoticeFeed.answerList(page({ object("a", 1) }, 2));
    longNoticeFeed.answerWatch(unavailable());
    control.advance(Milliseconds(1000));
    longNoticeFeed.answerWatch(FeedChanges { { { object("a", 3), true } }, StoreRevision(3) });
    control.advance(Milliseconds(2100));
    BOOST_TEST(values.contains("a"));
    control.advance(Milliseconds(200));
    BOOST_TEST(!values.contains("a"));
}

// A store that drops its history without an outage has answered all the time, so a missing object hasn't just expired.
BOOST_AUTO_TEST_CASE(anObjectMissingWithoutAnOutageIsRemovedAtOnce)
{
    feed.answerList(page({ object("a", 1), object("b", 2) }, 2));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "history gone" });
    control.advance(Milliseconds(1000));
    feed.answerList(page({ object("a", 1) }, 9));
    BOOST_TEST(!values.contains("b"));
    BOOST_TEST(values.contains("a"));
}

BOOST_AUTO_TEST_CASE(eachSuccessfulAnswerConfirmsTheMirror)
{
    feed.answerList(page({ object("a", 1) }, 2));
    BOOST_TEST((confirmedAt == control.now()));
    const framework::SteadyTime listedAt = control.now();
    control.advance(Milliseconds(100));
    feed.answerWatch(Error { ErrorCode::NotFound, "watch", "store", "history gone" });
    BOOST_TEST((confirmedAt == listedAt));
    control.advance(Milliseconds(100));
    feed.answerList(page({ object("a", 1) }, 2));
    control.advance(Milliseconds(100));
    feed.answerWatch(FeedChanges { {}, StoreRevision(2) });
    BOOST_TEST((confirmedAt == control.now()));
}

BOOST_AUTO_TEST_CASE(aDeletionWithoutAnOutageTakesEffectAtOnce)
{
    feed.answerList(page({ object("a", 1) }, 2));
    feed.answerWatch(FeedChanges { { { object("a", 3), true } }, StoreRevision(3) });
    BOOST_TEST(values.empty());
}

// Prevents the removal of an object that was deleted and created again between two pages of a list.
BOOST_AUTO_TEST_CASE(aDeletionOlderThanTheKnownObjectIsIgnored)
{
    feed.answerList({ { object("a", 1) }, true, StoreRevision(5) });
    feed.answerList({ { object("b", 7) }, false, StoreRevision(8) });
    feed.answerWatch(FeedChanges { { { object("b", 6), true } }, StoreRevision(6) });
    BOOST_TEST(values.contains("b"));
    feed.answerWatch(FeedChanges { { { object("b", 7), false } }, StoreRevision(8) });
    feed.answerWatch(FeedChanges { { { object("b", 9), true } }, StoreRevision(9) });
    BOOST_TEST(!values.contains("b"));
}

// Prevents retries from overloading a store that recovers from an outage, so that it refuses calls again.
BOOST_AUTO_TEST_CASE(retriesAreSpacedDuringAnOutage)
{
    feed.answerList(page({}, 2));
    int tries = 0;
    for (int step = 0; step < 500; ++step) {
        while (!feed.watches.empty()) {
            feed.answerWatch(unavailable());
            ++tries;
        }
        control.advance(Milliseconds(20));
    }
    // 500 steps of 20 ms are ten seconds, and the pauses between retries are 200 to 400 ms.
    BOOST_TEST(tries <= 40);
    BOOST_TEST(tries >= 15);
}

// Prevents a long watch from delaying the end of an outage: the store was silent for eight seconds, and callers of a
// new route were refused for three more. The watch sent just before the end of the silence was never answered, and its
// long wait had to end first.
BOOST_AUTO_TEST_CASE(watchesAreShortDuringAnOutage)
{
    feed.answerList(page({}, 2));
    BOOST_TEST(feed.lastWait.count() == settings().watchWait.count());
    feed.answerWatch(unavailable());
    control.advance(Milliseconds(1000));
    BOOST_REQUIRE(!feed.watches.empty());
    BOOST_TEST(feed.lastWait.count() <= 1);
    feed.answerWatch(FeedChanges { {}, StoreRevision(2) });
    BOOST_TEST(feed.lastWait.count() == settings().watchWait.count());
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::objectstore
