#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/processusage.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/resource.h>

using namespace lagoon::testsupport;

namespace {

constexpr rlim_t bytesPerMib = 1024 * 1024;
/// The memory of the smallest machines that processes run on.
constexpr rlim_t memoryMib = 192;
constexpr int requests = 20;

} // namespace

BOOST_AUTO_TEST_SUITE(AgentPathWithinItsMemory)

// Prevents routers and agents from being ended when a thread or an allocation finds no address space.
BOOST_AUTO_TEST_CASE(limitedProcessesServeAndEndInOrder)
{
    Deployment deployment;
    deployment.setProcessOptions({ .limits = { { RLIMIT_AS, memoryMib * bytesPerMib } } });
    UpstreamVm& engine = deployment.addUpstream("gpu-1", { .standinArguments = { "--memory-mib", "1000" } });
    RouterVm& router = deployment.addRouter("entry-1");
    deployment.rollOut(BundleBuilder(1)
                           .enginePool("engines", "old", 1000)
                           .model("notes", 600, { "engines" }, { { "old", 1 } })
                           .text());
    deployment.waitUntilReady();
    for (int request = 0; request < requests; ++request) {
        PendingCall call(completionCall(router.callers(), "notes", "a b c", { .isStream = true }));
        BOOST_TEST(completionText(call.answer()) == "a b c");
    }
    for (ChildProcess* process : { router.process.get(), engine.agent.get() }) {
        BOOST_TEST_MESSAGE(process->name() << ": " << usageOf(process->pid()).peakAddressSpaceMib << " MiB");
        process->sendSignal(SIGTERM);
        BOOST_TEST(process->waitForExit() == 0, process->name() << ": " << process->log());
    }
}

BOOST_AUTO_TEST_SUITE_END()
