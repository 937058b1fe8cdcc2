#include "soak/soakrun.h"

#include <boost/program_options.hpp>
#include <csignal>
#include <iostream>

using namespace lagoon::soak;
namespace options = boost::program_options;

/// `directsoak --first 1 --seeds 50 --seconds 5`: a run a seed; exit code 1 if a promise wasn't kept.
int main(int argc, char** argv)
{
    std::uint64_t first = 1;
    std::uint64_t seeds = 1;
    std::int64_t seconds = 5;
    options::options_description described("directsoak");
    described.add_options()("first", options::value(&first), "the first seed")(
        "seeds", options::value(&seeds), "how many")("seconds", options::value(&seconds), "of faults a seed")(
        "loud", "print each fault")("help", "this text");
    options::variables_map values;
    options::store(options::parse_command_line(argc, argv, described), values);
    options::notify(values);
    if (values.count("help") > 0) {
        std::cout << described;
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    bool isKept = true;
    for (std::uint64_t seed = first; seed < first + seeds; ++seed) {
        SoakSettings settings;
        settings.seed = seed;
        settings.faults = lagoon::framework::Milliseconds(seconds * 1000);
        settings.isLoud = values.count("loud") > 0;
        const SoakReport report = SoakRun(settings).run();
        std::cout << "seed " << seed << ": " << report.requests << " requests, " << report.served << " served, "
                  << report.refused << " refused as not run, " << report.faults << " faults, " << report.broken.size()
                  << " promises broken" << std::endl;
        for (const std::string& broken : report.broken)
            std::cout << "  " << broken << std::endl;
        isKept = isKept && report.broken.empty();
    }
    return isKept ? 0 : 1;
}
