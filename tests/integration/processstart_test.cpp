#include "fleet/runningfleet.h"
#include "support/programs.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;

namespace {

const std::vector<std::string> roles { "direct-router", "direct-agent", "router", "agent" };

/// Whether the process runs the program, and has begun to load one of its libraries.
bool isLoading(const ChildProcess& process)
{
    const std::string folder = "/proc/" + std::to_string(process.pid());
    std::error_code error;
    const auto program = std::filesystem::read_symlink(folder + "/exe", error);
    return !error && std::filesystem::equivalent(program, pathOf(Program::Lagoonrouter), error)
        && readFile(folder + "/maps").find("libcpprest") != std::string::npos;
}

/// Polls without a pause, since loading takes a few milliseconds only.
void waitUntilLoading(ChildProcess& process)
{
    while (process.isRunning() && !isLoading(process)) { }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ProcessStarts)

// Prevents SIGHUP from ending a process whose libraries are still being loaded.
BOOST_AUTO_TEST_CASE(aReloadDuringTheStartDoesNotEndAProcess)
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings.json");
    for (const std::string& role : roles) {
        writeFile(settings, "{}");
        ChildProcess process(role, pathOf(Program::Lagoonrouter), { role, "--settings", settings }, folder);
        waitUntilLoading(process);
        process.sendSignal(SIGHUP);
        // Settings without any key are refused.
        BOOST_TEST(process.waitForExit() == 2, role);
    }
}

BOOST_AUTO_TEST_SUITE_END()
