#include "fleet/runningfleet.h"
#include "support/programs.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <filesystem>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;
using namespace std::string_literals;

namespace {

constexpr auto unusedEndpoint = "127.0.0.1:1";
constexpr auto unusedUrl = "http://127.0.0.1:1";
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

/// Polls without a pause, since loading takes a few milliseconds only. Returns false if the process has ended before.
bool isSeenLoading(ChildProcess& process)
{
    while (process.isRunning()) {
        if (isLoading(process))
            return true;
    }
    return false;
}

/// Waits until a line of either output contains the text.
void waitForLine(ChildProcess& process, const std::string& text)
{
    waitFor(process.name() + " to log " + text,
        [&] { return (process.output() + process.log()).find(text) != std::string::npos || !process.isRunning(); });
    BOOST_REQUIRE_MESSAGE(process.isRunning(), process.name() << " ended: " << process.log());
}

/// Valid settings of the role, with these ports. Nothing answers at the other endpoints that they name.
std::string settingsOf(const std::string& role, const std::map<std::string, std::string>& ports = {})
{
    auto settings = web::json::value::object();
    const auto set
        = [&](const std::string& key, const std::string& text) { settings[key] = web::json::value::string(text); };
    set("role", role);
    set("vm", role + "-1");
    set("site", "site");
    set("failure_domain", "hall");
    set("ops", "127.0.0.1:0");
    const bool isDirect = role.starts_with("direct-");
    if (isDirect)
        set("object_store", unusedEndpoint);
    else
        settings["platform"]["url"] = web::json::value::string(unusedUrl);
    if (role != "direct-router")
        set("link", "127.0.0.1:0");
    if (role.ends_with("router"))
        set("callers", "127.0.0.1:0");
    if (role == "direct-router") {
        set("readiness", "127.0.0.1:0");
        settings["agent_port"] = web::json::value::number(1);
    } else if (role == "direct-agent") {
        set("engine", unusedEndpoint);
        set("service", "engines");
    } else if (role == "agent") {
        set("pool", "engines");
        settings["upstream"]["kind"] = web::json::value::string("engine");
        settings["upstream"]["url"] = web::json::value::string(unusedUrl);
    }
    for (const auto& [key, endpoint] : ports)
        set(key, endpoint);
    return settings.serialize();
}

/// A port that a process of this role needs to serve.
struct NeededPort {
    std::string role;
    std::string key;
};

const std::vector<NeededPort> neededPorts { { "direct-router", "callers" }, { "direct-router", "readiness" },
    { "direct-agent", "link" }, { "router", "callers" }, { "router", "link" }, { "router", "ops" }, { "agent", "link" },
    { "agent", "ops" } };

/// Waits until the process has logged that it can't bind a port.
void waitUntilAwaitingPort(ChildProcess& process)
{
    waitForLine(process, process.name().starts_with("direct-") ? "\"port_awaited\"" : "waiting for a port");
}

std::string freeEndpoint() { return TcpServer().endpoint(); }

/// A process whose settings are in a file of its own.
struct StartedProcess {
    StartedProcess(const std::string& role, const std::map<std::string, std::string>& ports)
        : settings(folder.file("settings.json"))
    {
        writeFile(settings, settingsOf(role, ports));
        process.emplace(role, pathOf(Program::Lagoonrouter), std::vector { role, "--settings"s, settings }, folder);
    }

    TemporaryFolder folder;
    std::string settings;
    std::optional<ChildProcess> process;
};

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
        BOOST_REQUIRE(isSeenLoading(process));
        process.sendSignal(SIGHUP);
        // Settings without any key are refused.
        BOOST_TEST(process.waitForExit() == 2, role);
    }
}

// Prevents a signal that the main thread isn't waiting for from reaching a thread whose default action ends the
// process.
BOOST_AUTO_TEST_CASE(aSecondTerminationDoesNotCutTheShutdown)
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings.json");
    writeFile(settings, settingsOf("direct-router"));
    const auto router
        = startProgram(Program::Lagoonrouter, "router", { "direct-router", "--settings", settings }, folder);
    router->sendSignal(SIGTERM);
    waitFor("the shutdown to begin", [&] { return router->output().find("\"draining\"") != std::string::npos; });
    router->sendSignal(SIGTERM);
    BOOST_TEST(router->waitForExit() == 0);
    BOOST_TEST(router->output().find("\"stopped\"") != std::string::npos);
}

// Prevents a process from ending at its start when only the environment says where its settings are.
BOOST_AUTO_TEST_CASE(theEnvironmentNamesTheSettings)
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings.json");
    const ProcessOptions options { .environment = { { { "LAGOONROUTER_SETTINGS", settings } } } };
    for (const std::string& role : roles) {
        writeFile(settings, settingsOf(role));
        const auto process = startProgram(Program::Lagoonrouter, role, { role }, folder, options);
        BOOST_TEST(process->isRunning(), role);
    }
}

// Prevents the environment from replacing settings that the command line names.
BOOST_AUTO_TEST_CASE(theCommandLineGoesBeforeTheEnvironment)
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings.json");
    const ProcessOptions options { .environment = { { { "LAGOONROUTER_SETTINGS", folder.file("other.json") } } } };
    writeFile(folder.file("other.json"), "{}");
    for (const std::string& role : roles) {
        writeFile(settings, settingsOf(role));
        const auto process
            = startProgram(Program::Lagoonrouter, role, { role, "--settings", settings }, folder, options);
        BOOST_TEST(process->isRunning(), role);
    }
}

// Prevents a process from ending when the platform starts it before it has written its settings.
BOOST_AUTO_TEST_CASE(settingsThatComeLateAreAwaited)
{
    const TemporaryFolder folder;
    const std::string settings = folder.file("settings.json");
    for (const std::string& role : roles) {
        std::filesystem::remove(settings);
        ChildProcess process(role, pathOf(Program::Lagoonrouter), { role, "--settings", settings }, folder);
        waitForLine(process, "can't be opened");
        writeFile(settings, "");
        waitForLine(process, "empty");
        writeFile(settings, settingsOf(role).substr(0, 30));
        waitForLine(process, "not JSON");
        process.sendSignal(SIGHUP);
        writeFile(settings, settingsOf(role));
        process.waitUntilReady();
        BOOST_TEST(process.isRunning(), role);
    }
}

// Prevents a process without settings from having to be killed.
BOOST_AUTO_TEST_CASE(aProcessThatAwaitsItsSettingsEndsInOrder)
{
    const TemporaryFolder folder;
    for (const std::string& role : roles) {
        ChildProcess process(
            role, pathOf(Program::Lagoonrouter), { role, "--settings", folder.file("missing.json") }, folder);
        waitForLine(process, "can't be opened");
        process.sendSignal(SIGTERM);
        BOOST_TEST(process.waitForExit() == 0, role);
    }
}

// Prevents a router or agent that an operator starts with a wrong path from waiting forever.
BOOST_AUTO_TEST_CASE(missingSettingsAreRefusedInTheEnd)
{
    const TemporaryFolder folder;
    const std::string missing = folder.file("missing.json");
    ChildProcess router("router", pathOf(Program::Lagoonrouter), { "router", "--settings", missing }, folder);
    ChildProcess agent("agent", pathOf(Program::Lagoonrouter), { "agent", "--settings", missing }, folder);
    BOOST_TEST(router.waitForExit() == 2);
    BOOST_TEST(agent.waitForExit() == 2);
}

// Prevents a process from ending at its start while another one, such as a former one, holds a port that it needs.
BOOST_AUTO_TEST_CASE(heldPortsAreAwaited)
{
    for (const NeededPort& port : neededPorts) {
        std::optional<TcpServer> holder(std::in_place);
        const std::string endpoint = holder->endpoint();
        StartedProcess started(port.role, { { port.key, endpoint } });
        waitUntilAwaitingPort(*started.process);
        holder.reset();
        started.process->waitUntilReady();
        BOOST_TEST(started.process->readyText(port.key) == endpoint);
        if (port.role.starts_with("direct-"))
            BOOST_TEST(started.process->output().find("\"port_bound\"") != std::string::npos);
    }
}

// Prevents a process that can't bind a port from having to be killed.
BOOST_AUTO_TEST_CASE(aProcessThatAwaitsAPortEndsInOrder)
{
    for (const NeededPort& port : neededPorts) {
        const TcpServer holder;
        StartedProcess started(port.role, { { port.key, holder.endpoint() } });
        waitUntilAwaitingPort(*started.process);
        started.process->sendSignal(SIGTERM);
        BOOST_TEST(started.process->waitForExit() == 0, port.key);
    }
}

// Prevents a held metrics port from keeping a process from serving.
BOOST_AUTO_TEST_CASE(aHeldMetricsPortKeepsNobodyFromServing)
{
    for (const std::string role : { "direct-router", "direct-agent" }) {
        std::optional<TcpServer> holder(std::in_place);
        StartedProcess started(role, { { "ops", holder->endpoint() } });
        started.process->waitUntilReady();
        BOOST_TEST(started.process->output().find("\"port_bound\"") == std::string::npos);
        holder.reset();
        waitForLine(*started.process, "\"port_bound\"");
        const TcpPeer metrics(started.process->readyText("ops"));
    }
}

// Prevents balancers from being left without an answer by a router that can't serve yet.
BOOST_AUTO_TEST_CASE(aRouterWithoutItsCallersPortIsNotReady)
{
    const TcpServer holder;
    const std::string readiness = freeEndpoint();
    StartedProcess started("direct-router", { { "callers", holder.endpoint() }, { "readiness", readiness } });
    waitUntilAwaitingPort(*started.process);
    TcpPeer balancer(readiness);
    balancer.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n");
    const std::string refusal = "HTTP/1.1 503";
    BOOST_TEST(balancer.receive(refusal.size()) == refusal);
}

// Prevents requests from being cut by a SIGTERM that ends a router before it has started.
BOOST_AUTO_TEST_CASE(aRouterWithoutItsReadinessPortAcceptsNoCallers)
{
    const TcpServer holder;
    const std::string callers = freeEndpoint();
    StartedProcess started("direct-router", { { "callers", callers }, { "readiness", holder.endpoint() } });
    waitUntilAwaitingPort(*started.process);
    BOOST_CHECK_THROW(TcpPeer { callers }, std::exception);
}

// Prevents a router from ending at its start while the former one still serves its last requests.
BOOST_AUTO_TEST_CASE(aRouterFollowsOneThatShutsDown)
{
    const std::map<std::string, std::string> ports { { "callers", freeEndpoint() }, { "readiness", freeEndpoint() },
        { "ops", freeEndpoint() } };
    StartedProcess former("direct-router", ports);
    former.process->waitUntilReady();
    former.process->sendSignal(SIGTERM);
    waitForLine(*former.process, "\"draining\"");
    StartedProcess next("direct-router", ports);
    waitUntilAwaitingPort(*next.process);
    next.process->waitUntilReady();
    BOOST_TEST(former.process->waitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
