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
    bool isVerbose = false;
};

constexpr std::size_t plannedRouters = 4;
constexpr std::size_t mixedRouters = 2;

SoakSettings settingsOf(const Arguments& arguments, std::uint64_t seed)
{
    SoakSettings settings;
    settings.seed = seed;
    const bool isPlanned = arguments.kind == "both" ? seed % 2 == 0 : arguments.kind == "planned";
    settings.kind = isPlanned ? RunKind::Planned : RunKind::Mixed;
    settings.duration = lagoon::framework::Milliseconds(arguments.seconds * 1000);
    settings.routers = isPlanned ? plannedRouters : mixedRouters;
    if (arguments.routers > 0)
        settings.routers = arguments.routers;
    if (arguments.engines > 0)
        settings.engines = arguments.engines;
    settings.isVerbose = arguments.isVerbose;
    return settings;
}

/// Whether all promises were kept.
bool runSeed(const SoakSettings& settings)
{
    SoakRun run(settings);
    const SoakReport report = run.run();
    std::cout << "seed " << settings.seed << (settings.kind == RunKind::Planned ? " (planned): " : " (mixed): ")
              << report.requests << " requests, " << report.served << " served, " << report.refused
              << " refused as not run, " << report.closedUnread << " crossed a close, " << report.failedDuringFault
              << " struck, " << report.steps << " faults, " << report.violations.size() << " promises broken"
              << std::endl;
    for (const std::string& violation : report.violations)
        std::cout << "  " << violation << std::endl;
    if (report.violations.empty())
        return true;
    for (const std::string& note : run.notes())
        std::cout << "  " << note << std::endl;
    return false;
}

} // namespace

/// A run a seed; exit code 1 if a promise wasn't kept.
int main(int argc, char** argv)
{
    Arguments arguments;
    options::options_description description("directsoak");
    description.add_options()("first", options::value(&arguments.first), "the first seed")(
        "seeds", options::value(&arguments.seeds), "how many")("seconds", options::value(&arguments.seconds),
        "of work and faults a seed")("kind", options::value(&arguments.kind),
        "planned (operators' work alone), mixed (faults too) or both (even seeds planned)")("routers",
        options::value(&arguments.routers),
        "how many, at least 2")("engines", options::value(&arguments.engines), "how many at first, at least 2")(
        "loud", options::bool_switch(&arguments.isVerbose), "print what is done")("help", "this text");
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
