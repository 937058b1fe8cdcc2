#include "support/bundlebuilder.h"
#include "support/burst.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::testsupport;

namespace {

const std::string service = "slots";

/// A deployment with a booking service on two VMs and one router.
struct LeavingFixture {
    LeavingFixture()
    {
        for (const char* vm : { "booking-1", "booking-2" })
            deployment.addUpstream(vm, { .kind = UpstreamKind::Service, .pool = "booking" });
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1).servicePool("booking", "old").service(service, { "booking" }).text());
        deployment.waitUntilReady();
        callUntil("both serve", [&] { return callsAt("booking-1") > 0 && callsAt("booking-2") > 0; });
        // The VM that stays is made slow, so that the leaving one would get nearly all calls if it were still used.
        // With two equally fast VMs the router keeps choosing the same one for hundreds of calls, which might avoid the
        // leaving VM by chance.
        setFaults(deployment.upstream(staying).upstream(), R"({"work_ms": 40})");
        callUntil("the faster is preferred", [&] { return isPreferred(leaving); });
    }

    /// Whether more than 3/4 of 20 calls reach the VM.
    bool isPreferred(const std::string& vm)
    {
        constexpr std::size_t sampleCalls = 20;
        const std::size_t before = callsAt(vm);
        for (std::size_t sampleCall = 0; sampleCall < sampleCalls; ++sampleCall)
            callOnce();
        return callsAt(vm) - before > sampleCalls * 3 / 4;
    }

    std::size_t callsAt(const std::string& vm) { return executionsAt({ deployment.upstream(vm).upstream() }).size(); }
    HttpAnswer callOnce()
    {
        const std::string token = "hold-" + std::to_string(callCount_++);
        return call(serviceCall(deployment.router("entry-1").callers(), service, token));
    }
    void callUntil(const std::string& what, const std::function<bool()>& condition)
    {
        waitFor(what, [&] {
            BOOST_TEST(callOnce().status == 200);
            return condition();
        });
    }
    /// Repeats calls until `minConsecutiveMisses` of them in a row did not reach the VM, far more than chance allows.
    void callUntilAvoided(const std::string& vm)
    {
        std::size_t before = callsAt(vm);
        std::size_t consecutiveMisses = 0;
        callUntil("no new work reaches " + vm, [&] {
            const std::size_t now = callsAt(vm);
            consecutiveMisses = now == before ? consecutiveMisses + 1 : 0;
            before = now;
            return consecutiveMisses >= minConsecutiveMisses;
        });
    }

    static constexpr std::size_t minConsecutiveMisses = 60;
    Deployment deployment;
    const std::string leaving = "booking-1";
    const std::string staying = "booking-2";

private:
    std::size_t callCount_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(LeavingVms, LeavingFixture)

// The platform's list marks a VM as leaving because it is about to be removed. A call that is still sent there would be
// lost with the VM.
BOOST_AUTO_TEST_CASE(announcedByThePlatformsList)
{
    deployment.setVmState(leaving, "leaving");
    callUntilAvoided(leaving);
}

// An operator stops the agent while the platform's list still shows its VM as live. The agent itself reports that it is
// draining.
BOOST_AUTO_TEST_CASE(announcedByAnAgentWhileTheListIsStale)
{
    setFaults(deployment.platform(), R"({"vms_frozen": true})");
    deployment.upstream(leaving).agent->sendSignal(SIGTERM);
    BOOST_TEST(deployment.upstream(leaving).agent->waitForExit() == 0);
    callUntilAvoided(leaving);
}

// An operator stops the agent while the platform is unreachable. The agent itself reports that it is draining.
BOOST_AUTO_TEST_CASE(announcedByAnAgentDuringAPlatformOutage)
{
    setFaults(deployment.platform(), R"({"mode": "refuse"})");
    deployment.upstream(leaving).agent->sendSignal(SIGTERM);
    BOOST_TEST(deployment.upstream(leaving).agent->waitForExit() == 0);
    callUntilAvoided(leaving);
}

// The platform's list shows the state "leaving" with a delay. Calls that reach the VM until then are still answered.
BOOST_AUTO_TEST_CASE(announcedByADelayedList)
{
    setFaults(deployment.platform(), R"({"vms_late_ms": 1500})");
    deployment.setVmState(leaving, "leaving");
    callUntilAvoided(leaving);
}

// A call is in progress at the upstream when its agent receives SIGTERM. The call is answered before the agent exits.
BOOST_AUTO_TEST_CASE(callsInProgressAreCompleted)
{
    setFaults(deployment.upstream("booking-1").upstream(), R"({"work_ms": 2000})");
    setFaults(deployment.upstream("booking-2").upstream(), R"({"work_ms": 2000})");
    const std::size_t before = callsAt("booking-1");
    std::vector<PendingCall> calls;
    waitFor("a call runs at the leaving VM", [&] {
        calls.emplace_back(serviceCall(deployment.router("entry-1").callers(), service, "under way"));
        return callsAt("booking-1") > before;
    });
    deployment.upstream("booking-1").agent->sendSignal(SIGTERM);
    for (PendingCall& call : calls)
        BOOST_TEST(call.answer().status == 200);
    BOOST_TEST(deployment.upstream("booking-1").agent->waitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
