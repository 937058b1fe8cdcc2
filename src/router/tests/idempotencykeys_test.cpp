#include "framework/testing/manualcontrol.h"
#include "objectstore/tests/memoryobjectstore.h"
#include "router/internal/idempotencykeys.h"
#include "router/tests/fixture.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <new>
#include <utility>

using namespace lagoon;
using namespace lagoon::router;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;

namespace {

constexpr Milliseconds retention { 1000 };

class KeysFixture {
public:
    KeysFixture()
        : keys_(store_, workers_, control_, control_, metrics_, retention)
    {
    }

    framework::Result<ClaimedKey> claim(const std::string& key)
    {
        callers::CallerRequest request;
        request.name = framework::RequestName("1-1");
        request.target = holds();
        request.idempotencyKey = key;
        request.deadline = framework::Deadline::after(control_.now(), Milliseconds(10000));
        std::optional<framework::Result<ClaimedKey>> claimed;
        keys_.claim(request, [&](const auto& result) { claimed = result; });
        BOOST_REQUIRE(control_.waitAndRunPosted());
        BOOST_REQUIRE(claimed);
        return *claimed;
    }

    std::size_t storedKeys()
    {
        return store_->list("keys/", framework::Deadline::after(control_.now(), Milliseconds(1000))).value().size();
    }

    /// Runs one sweep, and waits for it by a second task in the worker's queue.
    void sweep()
    {
        control_.advance(retention);
        std::promise<void> swept;
        workers_.run([&] { swept.set_value(); });
        swept.get_future().get();
    }

    /// Starts at the real time, since `objectstore::updateObject` waits by the real clock: a fixed start time would be
    /// in the past on a machine that has been up for longer.
    framework::ManualControl control_ { framework::SystemClock().now() };
    framework::WorkerPool workers_ { 1 };
    std::shared_ptr<framework::Metrics> metrics_ = std::make_shared<framework::Metrics>();
    std::shared_ptr<objectstore::MemoryObjectStore> store_ = std::make_shared<objectstore::MemoryObjectStore>();
    IdempotencyKeys keys_;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(IdempotencyKeysOfRouters, KeysFixture)

// A kiosk sends a slot hold, loses its connection and resends the hold with the same key through another router. The
// second request must not run, since the first may have run.
BOOST_AUTO_TEST_CASE(aDuplicateKeyIsRefusedAsUnknown)
{
    BOOST_TEST(claim("slot-5").has_value());
    const auto second = claim("slot-5");
    BOOST_REQUIRE(second.has_error());
    BOOST_CHECK(second.error().code == ErrorCode::DuplicateKey);
    BOOST_CHECK(second.error().execution == Execution::Unknown);
    BOOST_TEST(claim("slot-6").has_value());
}

// The platform's response to the create is lost. The claim must still succeed, since this router's object was stored.
BOOST_AUTO_TEST_CASE(aClaimSucceedsWhenThePlatformsResponseIsLost)
{
    store_->failNextWrites({ objectstore::WriteFault::LoseAnswer });
    BOOST_TEST(claim("slot-5").has_value());
    BOOST_TEST(storedKeys() == 1u);
}

// During a platform outage it is unknown whether the key is new, so the request must be refused as not run.
BOOST_AUTO_TEST_CASE(aClaimDuringAPlatformOutageIsNotRun)
{
    store_->setAvailable(false);
    callers::CallerRequest request;
    request.target = holds();
    request.idempotencyKey = "slot-5";
    request.deadline = framework::Deadline::after(framework::SystemClock().now(), Milliseconds(300));
    framework::ControlThread control;
    framework::SystemClock clock;
    IdempotencyKeys keys(store_, workers_, control, clock, metrics_, retention);
    std::promise<framework::Result<ClaimedKey>> claimed;
    keys.claim(request, [&](const auto& result) { claimed.set_value(result); });
    const auto result = claimed.get_future().get();
    BOOST_REQUIRE(result.has_error());
    BOOST_CHECK(result.error().execution == Execution::NotRun);
    BOOST_TEST(result.error().retryAfter.has_value());
}

BOOST_AUTO_TEST_CASE(aReleasedKeyMayBeClaimedAgain)
{
    const auto first = claim("slot-5");
    keys_.release(first.value());
    BOOST_TEST(claim("slot-5").has_value());
}

// A router that shuts down refuses a request as not run and releases its key. It must not exit before the platform has
// confirmed the release, or the caller's retry is refused as a duplicate.
BOOST_AUTO_TEST_CASE(shutdownWaitsForKeyReleases)
{
    const auto key = claim("slot-5");
    std::promise<void> platformResumes;
    workers_.run([resumed = platformResumes.get_future().share()] { resumed.wait(); });
    keys_.release(key.value());
    const framework::SystemClock clock;
    keys_.waitUntilSettled(framework::Deadline(clock.now()));
    BOOST_TEST(storedKeys() == 1u, "a deadline that has passed ends the wait");
    platformResumes.set_value();
    keys_.waitUntilSettled(framework::Deadline::after(clock.now(), Milliseconds(30000)));
    BOOST_TEST(storedKeys() == 0u);
}

// A router crashes and leaves its keys behind. They must be removed eventually, but not before the retention period is
// over.
BOOST_AUTO_TEST_CASE(keysAreSweptAfterTheRetention)
{
    BOOST_TEST(claim("slot-5").has_value());
    keys_.startSweeping([] { return true; });
    sweep();
    BOOST_TEST(storedKeys() == 1u);
    sweep();
    BOOST_TEST(storedKeys() == 0u);
}

// Prevents keys from being kept for ever after one sweep that threw.
BOOST_AUTO_TEST_CASE(keysAreSweptAfterASweepThatThrew)
{
    BOOST_TEST(claim("slot-5").has_value());
    bool throwsNext = true;
    keys_.startSweeping([&throwsNext] {
        if (std::exchange(throwsNext, false))
            throw std::bad_alloc();
        return true;
    });
    BOOST_CHECK_THROW(sweep(), std::bad_alloc);
    sweep();
    sweep();
    BOOST_TEST(storedKeys() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
