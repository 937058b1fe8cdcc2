#include "fleet/runningfleet.h"
#include "support/processusage.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <sys/resource.h>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;

namespace {

constexpr rlim_t bytesPerMib = 1024 * 1024;
/// The memory of the smallest machines that processes run on.
constexpr rlim_t memoryMib = 192;
constexpr int requests = 60;

ProcessOptions limitedTo(rlim_t mib) { return { .limits = { { RLIMIT_AS, mib * bytesPerMib } } }; }

/// A fleet that serves requests, with three routers.
struct ServingFleet {
    ~ServingFleet() { fleet.stop(); }

    void start(const ProcessOptions& options)
    {
        fleet.setProcessOptions(options);
        fleet.startProcesses();
        fleet.startRouter(1);
        fleet.startRouter(2);
        for (std::size_t router = 0; router < 3; ++router)
            waitUntilServing(router);
        for (int request = 0; request < requests; ++request)
            BOOST_TEST(send(static_cast<std::size_t>(request) % 3) == 200);
    }

    int send(std::size_t router)
    {
        BOOST_REQUIRE_MESSAGE(fleet.router(router).isRunning(), "a router ended: " << fleet.router(router).log());
        const std::string attempt = "a" + std::to_string(++attempts);
        return fleet.call({ .target = "/model/1", .attempt = attempt, .model = "warm" }, router).status;
    }

    void waitUntilServing(std::size_t router)
    {
        waitFor("the router to serve", [&] { return send(router) == 200; });
    }

    Fleet& fleet = Fleet::make();
    int attempts = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ProcessesLeaveMostOfTheirAddressSpaceFree, ServingFleet)

// Prevents an abort after SIGTERM, when the process can't create a thread since its address space is used up.
BOOST_AUTO_TEST_CASE(limitedProcessesEndInOrder)
{
    start(limitedTo(memoryMib));
    for (ChildProcess* process : { &fleet.agent(0), &fleet.agent(1), &fleet.router(0), &fleet.router(1) }) {
        process->sendSignal(SIGTERM);
        BOOST_TEST(process->waitForExit() == 0, process->name() << ": " << process->log());
        BOOST_TEST(process->output().find("\"stopped\"") != std::string::npos);
    }
}

// Prevents allocations from failing in a process that uses little memory, but reserves all its address space.
BOOST_AUTO_TEST_CASE(unlimitedProcessesReserveLittle)
{
    start({});
    for (ChildProcess* process : { &fleet.agent(0), &fleet.agent(1), &fleet.router(0), &fleet.router(1) }) {
        const double peak = usageOf(process->pid()).peakAddressSpaceMib;
        BOOST_TEST(process->isRunning());
        BOOST_TEST(peak > 0);
        BOOST_TEST(peak < memoryMib / 2, process->name() << " reserved " << peak << " MiB");
    }
}

BOOST_AUTO_TEST_SUITE_END()
