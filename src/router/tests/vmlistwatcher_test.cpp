#include "framework/testing/manualcontrol.h"
#include "router/internal/vmlistwatcher.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <new>

using namespace lagoon;
using namespace lagoon::router;
using framework::Deadline;
using framework::Milliseconds;
using objectstore::VmListSnapshot;

namespace {

/// Time within which a router must stop sending new work to a VM that leaves.
constexpr Milliseconds leavingNotice { 4000 };
/// Time that a call to the platform may take beyond the long poll itself.
constexpr Milliseconds callTimeout { 1000 };

/// Answers the first call; the second blocks until it is stopped.
class SilentVmList final : public objectstore::IVmList {
public:
    explicit SilentVmList(const framework::IClock& clock)
        : clock_(clock)
    {
    }

    framework::Result<VmListSnapshot> waitForChange(
        std::uint64_t known, Deadline deadline, std::stop_token stop) override
    {
        if (known == 0)
            return VmListSnapshot { 1, {} };
        wait_.set_value(deadline.remaining(clock_.now()));
        std::promise<void> stopped;
        const std::stop_callback onStop(stop, [&] { stopped.set_value(); });
        stopped.get_future().wait();
        return framework::Error { framework::ErrorCode::PlatformUnavailable, "list", "platform", "stopped" };
    }

    Milliseconds wait() { return wait_.get_future().get(); }

private:
    const framework::IClock& clock_;
    std::promise<Milliseconds> wait_;
};

/// Throws at the first call; the second blocks until it is stopped.
class FailingVmList final : public objectstore::IVmList {
public:
    framework::Result<VmListSnapshot> waitForChange(std::uint64_t, Deadline, std::stop_token stop) override
    {
        if (++calls_ == 1)
            throw std::bad_alloc();
        isAskedAgain_.set_value();
        std::promise<void> stopped;
        const std::stop_callback onStop(stop, [&] { stopped.set_value(); });
        stopped.get_future().wait();
        return framework::Error { framework::ErrorCode::PlatformUnavailable, "list", "platform", "stopped" };
    }

    void waitUntilAskedAgain() { isAskedAgain_.get_future().wait(); }

private:
    int calls_ = 0;
    std::promise<void> isAskedAgain_;
};

} // namespace

BOOST_AUTO_TEST_SUITE(VmListWatchers)

// A silent connection to the platform must not hide that a VM leaves: the wait for a change must end early enough to
// reconnect within the notice time.
BOOST_AUTO_TEST_CASE(aSilentConnectionIsReplacedWithinTheLeavingNotice)
{
    framework::ManualControl control;
    const auto list = std::make_shared<SilentVmList>(control);
    VmListWatcher watcher(list, control, control, std::make_shared<framework::Metrics>(), [](const auto&) {});
    watcher.start();
    const Milliseconds wait = list->wait();
    watcher.stop();
    BOOST_TEST(wait.count() > 0);
    BOOST_TEST((wait + callTimeout).count() <= leavingNotice.count());
}

// Prevents an exception while the list is read from ending the router.
BOOST_AUTO_TEST_CASE(anExceptionCostsOneReadOfTheList)
{
    framework::ManualControl control;
    const auto list = std::make_shared<FailingVmList>();
    VmListWatcher watcher(list, control, control, std::make_shared<framework::Metrics>(), [](const auto&) {});
    watcher.start();
    list->waitUntilAskedAgain();
    watcher.stop();
}

BOOST_AUTO_TEST_SUITE_END()
