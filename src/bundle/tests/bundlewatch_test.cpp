#include "bundle/bundlewatch.h"

#include "bundle/bundlehead.h"
#include "bundle/tests/bundlefixture.h"
#include "objectstore/tests/memoryobjectstore.h"

#include <boost/test/unit_test.hpp>
#include <mutex>
#include <thread>

using namespace lagoon;
using namespace lagoon::bundle;
using framework::BundleVersion;
using framework::Milliseconds;
using objectstore::MemoryObjectStore;

namespace {

constexpr Milliseconds shortWait { 5 };

/// The bundle watch of one process; records all versions that the watch reports.
class WatchingProcess {
public:
    WatchingProcess(HeadMode mode, std::shared_ptr<MemoryObjectStore> store, Milliseconds poll = Milliseconds(60000))
        : watch_(makeBundleWatch(mode, std::move(store), control_, metrics_,
            { .watch = Milliseconds(200),
                .poll = poll,
                .maxReadJitter = shortWait,
                .initialRetryDelay = shortWait,
                .maxRetryDelay = shortWait }))
    {
        watch_->changed().subscribe([this](const BundlePointer& bundle) {
            const std::lock_guard lock(mutex_);
            receivedVersions_.push_back(bundle->version.value());
        });
        watch_->start();
    }
    ~WatchingProcess() { watch_->stop(); }
    WatchingProcess(const WatchingProcess&) = delete;
    WatchingProcess& operator=(const WatchingProcess&) = delete;

    IBundleWatch& watch() { return *watch_; }
    std::uint64_t version() const { return watch_->current() ? watch_->current()->version.value() : 0; }
    bool hasMetric(const std::string& line) const { return metrics_->text().find(line) != std::string::npos; }

    template <typename Condition> static bool waitUntil(Condition condition)
    {
        const framework::Deadline deadline = tests::testDeadline();
        while (!condition()) {
            if (deadline.hasPassed(std::chrono::steady_clock::now()))
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
        return true;
    }
    bool reachesVersion(std::uint64_t expected) const
    {
        return waitUntil([&] { return version() == expected; });
    }
    bool receivedVersions(std::vector<std::uint64_t> expected)
    {
        return waitUntil([&] {
            const std::lock_guard lock(mutex_);
            return receivedVersions_ == expected;
        });
    }

private:
    std::shared_ptr<framework::Metrics> metrics_ = std::make_shared<framework::Metrics>();
    std::mutex mutex_;
    std::vector<std::uint64_t> receivedVersions_;
    framework::ControlThread control_;
    std::shared_ptr<IBundleWatch> watch_;
};

objectstore::StoredObject headOf(MemoryObjectStore& store)
{
    return *store.get(bundleHeadKey(), tests::testDeadline()).value();
}

} // namespace

BOOST_AUTO_TEST_SUITE(BundleWatches)

BOOST_AUTO_TEST_CASE(aWatcherFollowsTheHead)
{
    auto store = std::make_shared<MemoryObjectStore>();
    WatchingProcess process(HeadMode::Watch, store);
    tests::rollOutBundle(*store, 7);
    BOOST_TEST(process.reachesVersion(7));
    tests::rollOutBundle(*store, 8, 1);
    BOOST_TEST(process.reachesVersion(8));
    BOOST_TEST(process.watch().current()->models.begin()->second.replicas.begin()->second == 1U);
    BOOST_TEST(process.receivedVersions({ 7, 8 }));
}

BOOST_AUTO_TEST_CASE(aListenerReadsTheHeadWhenToldOfANewerVersion)
{
    auto store = std::make_shared<MemoryObjectStore>();
    tests::rollOutBundle(*store, 7);
    WatchingProcess process(HeadMode::Listen, store);
    BOOST_TEST(process.reachesVersion(7));
    tests::rollOutBundle(*store, 8);
    process.watch().observeVersion(BundleVersion(8));
    BOOST_TEST(process.reachesVersion(8));
}

BOOST_AUTO_TEST_CASE(aListenerPollsWithoutNotifications)
{
    auto store = std::make_shared<MemoryObjectStore>();
    tests::rollOutBundle(*store, 7);
    WatchingProcess process(HeadMode::Listen, store, shortWait);
    BOOST_TEST(process.reachesVersion(7));
    tests::rollOutBundle(*store, 8);
    BOOST_TEST(process.reachesVersion(8));
}

// Prevents a process from returning to an older bundle, so that a model that operators have moved to a new site is
// served at the old one again: the platform answers from a lagging replica, and the process reads the older head.
BOOST_AUTO_TEST_CASE(anOlderHeadIsNeverApplied)
{
    for (const HeadMode mode : { HeadMode::Watch, HeadMode::Listen }) {
        auto store = std::make_shared<MemoryObjectStore>();
        tests::rollOutBundle(*store, 7);
        const objectstore::StoredObject older = headOf(*store);
        tests::rollOutBundle(*store, 8);
        WatchingProcess process(mode, store, shortWait);
        BOOST_TEST(process.reachesVersion(8));
        store->overrideReads(bundleHeadKey(), older);
        BOOST_TEST(WatchingProcess::waitUntil([&] { return process.hasMetric("lagoon_bundle_older_heads_total"); }));
        BOOST_TEST(process.version() == 8U);
        store->clearReadOverrides();
        tests::rollOutBundle(*store, 9);
        BOOST_TEST(process.reachesVersion(9));
        BOOST_TEST(process.receivedVersions({ 8, 9 }));
    }
}

// A process that has just started and has no bundle yet doesn't apply an older head either: a peer reports version 8
// before the platform returns the head of version 7.
BOOST_AUTO_TEST_CASE(aStartingProcessRejectsAVersionOlderThanItsPeersHave)
{
    auto store = std::make_shared<MemoryObjectStore>();
    tests::rollOutBundle(*store, 7);
    const objectstore::StoredObject older = headOf(*store);
    tests::rollOutBundle(*store, 8);
    store->setAvailable(false);
    store->overrideReads(bundleHeadKey(), older);
    WatchingProcess process(HeadMode::Watch, store);
    process.watch().observeVersion(BundleVersion(8));
    store->setAvailable(true);
    BOOST_TEST(WatchingProcess::waitUntil([&] { return process.hasMetric("lagoon_bundle_older_heads_total"); }));
    BOOST_TEST(process.version() == 0U);
    store->clearReadOverrides();
    BOOST_TEST(process.reachesVersion(8));
    BOOST_TEST(process.receivedVersions({ 8 }));
}

// Prevents a new router from staying "not ready" after an outage of the platform: it must not stop trying to read the
// bundle during the outage.
BOOST_AUTO_TEST_CASE(aProcessStartedDuringAnOutageLoadsTheBundleAfterwards)
{
    auto store = std::make_shared<MemoryObjectStore>();
    tests::rollOutBundle(*store, 7);
    store->setAvailable(false);
    WatchingProcess process(HeadMode::Watch, store);
    BOOST_TEST(WatchingProcess::waitUntil([&] { return process.hasMetric("platform_unavailable\"} 2"); }));
    BOOST_TEST(!process.watch().current());
    store->setAvailable(true);
    BOOST_TEST(process.reachesVersion(7));
}

BOOST_AUTO_TEST_CASE(aBundleWithAWrongDigestIsNotApplied)
{
    auto store = std::make_shared<MemoryObjectStore>();
    tests::rollOutBundle(*store, 7);
    const std::string head = *store->valueOf(bundleHeadKey());
    WatchingProcess process(HeadMode::Watch, store);
    BOOST_TEST(process.reachesVersion(7));
    BundleHead wrong = parseBundleHead(head).value();
    wrong.version = BundleVersion(8);
    store->set(objectstore::ObjectKey("bundles/8"), *store->valueOf(objectstore::ObjectKey("bundles/7")));
    store->set(bundleHeadKey(), bundleHeadText(wrong));
    BOOST_TEST(WatchingProcess::waitUntil([&] { return process.hasMetric("code=\"bad_bundle\""); }));
    BOOST_TEST(process.version() == 7U);
}

BOOST_AUTO_TEST_SUITE_END()
