#include "soak/soakrun.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace lagoon::soak;
namespace options = boost::program_options;

namespace {

struct Arguments {
    std::uint64_t first = 1;
    std::uint64_t seeds = 1;
    std::int64_t seconds = 5;
    std::string kind = "both";
    std::size_t routers = 0;
    std::size_t engines = 0;
    std::size_t callers = 0;
    bool isVerbose = false;
};

constexpr std::uint64_t bytesPerMb = 1000 * 1000;
constexpr std::size_t plannedRouters = 4;
constexpr std::size_t mixedRouters = 2;
constexpr std::size_t startsRouters = 3;
constexpr std::size_t hostileRouters = 2;
constexpr std::size_t crowdRouters = 2;
constexpr std::size_t versionsRouters = 3;
constexpr std::size_t versionsEngines = 6;
constexpr std::size_t customersRouters = 3;
constexpr std::size_t customersEngines = 3;

SoakSettings settingsOf(const Arguments& arguments, std::uint64_t seed)
{
    SoakSettings settings;
    settings.seed = seed;
    const bool isPlanned = arguments.kind == "both" ? seed % 2 == 0 : arguments.kind != "mixed";
    settings.kind = isPlanned ? RunKind::Planned : RunKind::Mixed;
    if (arguments.kind == "poison")
        settings.kind = RunKind::Poison;
    if (arguments.kind == "limits")
        settings.kind = RunKind::Limits;
    settings.duration = lagoon::framework::Milliseconds(arguments.seconds * 1000);
    settings.routers = isPlanned ? plannedRouters : mixedRouters;
    if (arguments.kind == "versions") {
        settings.kind = RunKind::Versions;
        settings.routers = versionsRouters;
        settings.engines = versionsEngines;
    }
    if (arguments.kind == "customers") {
        settings.kind = RunKind::Customers;
        settings.routers = customersRouters;
        settings.engines = customersEngines;
    }
    if (arguments.kind == "starts") {
        settings.kind = RunKind::Starts;
        settings.routers = startsRouters;
    }
    if (arguments.kind == "hostile") {
        settings.kind = RunKind::Hostile;
        settings.routers = hostileRouters;
    }
    if (arguments.kind == "crowd") {
        settings.kind = RunKind::Crowd;
        settings.routers = crowdRouters;
    }
    if (arguments.routers > 0)
        settings.routers = arguments.routers;
    if (arguments.engines > 0)
        settings.engines = arguments.engines;
    if (arguments.callers > 0)
        settings.callers = arguments.callers;
    settings.isVerbose = arguments.isVerbose;
    return settings;
}

const char* kindText(RunKind kind)
{
    switch (kind) {
    case RunKind::Planned:
        return "planned";
    case RunKind::Mixed:
        return "mixed";
    case RunKind::Poison:
        return "poison";
    case RunKind::Limits:
        return "limits";
    case RunKind::Versions:
        return "versions";
    case RunKind::Customers:
        return "customers";
    case RunKind::Starts:
        return "starts";
    case RunKind::Hostile:
        return "hostile";
    case RunKind::Crowd:
        return "crowd";
    }
    return "";
}

std::string excusedText(const SoakReport& report)
{
    const std::vector<std::pair<Excuse, std::string>> names { { Excuse::RouterFault, "router" },
        { Excuse::LinkFault, "link" }, { Excuse::ServerBrokeOff, "server" } };
    std::string text;
    for (const auto& [excuse, name] : names) {
        const auto found = report.excused.find(excuse);
        text += std::to_string(found == report.excused.end() ? 0 : found->second) + " excused by " + name + ", ";
    }
    return text;
}

/// Returns whether no invariant was violated.
bool runSeed(const SoakSettings& settings)
{
    SoakRun run(settings);
    const SoakReport report = run.run();
    std::cout << "seed " << settings.seed << " (" << kindText(settings.kind) << "): " << report.requests
              << " requests, " << report.served << " served, " << report.refused << " refused as not run, "
              << report.closedUnread << " crossed a close, " << excusedText(report) << report.steps << " faults, "
              << report.violations.size() << " promises broken, at most " << report.peakRouterMemory / bytesPerMb
              << " MB a router and " << report.peakAgentMemory / bytesPerMb << " MB an agent" << std::endl;
    if (settings.kind == RunKind::Versions)
        std::cout << "  " << run.notes().back() << std::endl;
    for (const std::string& violation : report.violations)
        std::cout << "  " << violation << std::endl;
    if (report.violations.empty())
        return true;
    for (const std::string& note : run.notes())
        std::cout << "  " << note << std::endl;
    return false;
}

} // namespace

/// Runs the soak once per seed. The exit code is 1 if an invariant was violated.
int main(int argc, char** argv)
{
    Arguments arguments;
    options::options_description description("directsoak");
    description.add_options()("first", options::value(&arguments.first), "the first seed")(
        "seeds", options::value(&arguments.seeds), "number of seeds")("seconds", options::value(&arguments.seconds),
        "duration of operations and faults per seed, in seconds")("kind", options::value(&arguments.kind),
        "planned (planned operations only), mixed (faults too), poison (planned operations and a request that crashes "
        "its servers), limits (planned operations and servers that name limits), versions (mixed, and engines are "
        "replaced by ones with other software), customers (mixed, and callers have keys of customers with quotas), "
        "starts (what the starts of processes need comes late), hostile (planned operations, and the store and engines "
        "answer with more than fits into memory), crowd (planned operations, and clients that don't behave) or "
        "both (planned and "
        "mixed; even seeds are planned)")("routers", options::value(&arguments.routers),
        "number of routers, at least 2")("engines", options::value(&arguments.engines),
        "initial number of engines, at least 2")("callers", options::value(&arguments.callers),
        "number of callers of ordinary requests")("loud", options::bool_switch(&arguments.isVerbose),
        "print each operation and fault when it happens")("help", "print this help");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, description), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool hasPassed = true;
    for (std::uint64_t seed = arguments.first; seed < arguments.first + arguments.seeds; ++seed)
        hasPassed = runSeed(settingsOf(arguments, seed)) && hasPassed;
    return hasPassed ? 0 : 1;
}
