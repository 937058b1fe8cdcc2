#include "soak/processsupervisor.h"

#include <boost/test/unit_test.hpp>
#include <thread>

using namespace lagoon::soak;

namespace {

constexpr std::uint64_t tooLittle = 1'000'000;

struct SupervisedFleet {
    ~SupervisedFleet() { fleet.stop(); }

    /// Polls until a violation is recorded or processes have been checked for a while. Returns the violations.
    std::vector<std::string> violationsWith(const MachineMemory& memory)
    {
        LoadBalancer balancer(1);
        ActionScheduler scheduler;
        RunLog runLog(1, false);
        const RunParameters parameters;
        ProcessSupervisor supervisor({ fleet, scheduler, runLog, balancer }, parameters, memory);
        fleet.start();
        supervisor.adopt(1, 2);
        for (int poll = 0; poll < polls && runLog.violations().empty(); ++poll) {
            supervisor.poll();
            std::this_thread::sleep_for(std::chrono::milliseconds(10));
        }
        return runLog.violations();
    }

    static constexpr int polls = 50;
    lagoon::fleet::Fleet& fleet = lagoon::fleet::Fleet::make();
};

bool isMemoryOf(const std::string& violation, const std::string& process)
{
    return violation.starts_with(process)
        && violation.find("used more memory than its machine has") != std::string::npos;
}

} // namespace

BOOST_FIXTURE_TEST_SUITE(MemoryLimits, SupervisedFleet)

// Prevents a router that uses more memory than its machine has from being left running.
BOOST_AUTO_TEST_CASE(aRouterOverItsMemoryIsKilled)
{
    const std::vector<std::string> violations = violationsWith({ .ofRouters = tooLittle });
    BOOST_REQUIRE(violations.size() == 1);
    BOOST_TEST(isMemoryOf(violations.front(), "router-0"), violations.front());
    BOOST_TEST(!fleet.router().isRunning());
    BOOST_TEST(fleet.agent(0).isRunning());
}

// Prevents an agent that uses more memory than its machine has from being left running.
BOOST_AUTO_TEST_CASE(anAgentOverItsMemoryIsKilled)
{
    const std::vector<std::string> violations = violationsWith({ .ofAgents = tooLittle });
    BOOST_REQUIRE(violations.size() == 2);
    BOOST_TEST(isMemoryOf(violations.front(), "agent-"), violations.front());
    BOOST_TEST(!fleet.agent(0).isRunning());
    BOOST_TEST(fleet.router().isRunning());
}

BOOST_AUTO_TEST_CASE(processesBelowTheirMemoryRunOn)
{
    BOOST_TEST(violationsWith({}).empty());
    BOOST_TEST(fleet.router().isRunning());
}

BOOST_AUTO_TEST_SUITE_END()
