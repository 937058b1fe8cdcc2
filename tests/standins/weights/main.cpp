#include "standins/weights/weightstandin.h"

using namespace lagoon::standins;
using lagoon::framework::Milliseconds;
namespace options = boost::program_options;

namespace {

std::shared_ptr<IStandin> makeWeights(const options::variables_map& values, ReadyLine&)
{
    WeightOptions weights;
    weights.fetchesPerSecond = values["loads-per-second"].as<double>();
    weights.transferTime = Milliseconds(values["transfer-ms"].as<std::uint64_t>());
    weights.fullSpeedFetches = values["full-speed"].as<std::uint64_t>();
    return std::make_shared<WeightStandin>(weights);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description own("weights");
    own.add_options()("loads-per-second", options::value<double>()->default_value(4), "fetches started in a second")(
        "transfer-ms", options::value<std::uint64_t>()->default_value(50), "time of a fetch alone")(
        "full-speed", options::value<std::uint64_t>()->default_value(4), "fetches at once at full speed");
    return runStandin("standin-weights", argc, argv, own, makeWeights);
}
