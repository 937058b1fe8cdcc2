#include "standins/engine/enginestandin.h"

using namespace lagoon::standins;
using lagoon::framework::Milliseconds;
namespace options = boost::program_options;

namespace {

std::shared_ptr<IStandin> makeEngine(const options::variables_map& values, ReadyLine&)
{
    EngineOptions engine;
    engine.memoryMib = values["memory-mib"].as<std::uint64_t>();
    engine.checksFencing = values["checks-fencing"].as<bool>();
    engine.weightsUrl = values["weights"].as<std::string>();
    engine.loadTime = Milliseconds(values["load-ms"].as<std::uint64_t>());
    engine.unloadTime = Milliseconds(values["unload-ms"].as<std::uint64_t>());
    engine.tokenTime = Milliseconds(values["token-ms"].as<std::uint64_t>());
    engine.slots = values["slots"].as<std::uint64_t>();
    return std::make_shared<EngineStandin>(engine);
}

} // namespace

int main(int argc, char** argv)
{
    options::options_description own("engine");
    own.add_options()("memory-mib", options::value<std::uint64_t>()->default_value(40000), "accelerator memory")(
        "checks-fencing", options::value<bool>()->default_value(true), "refuse old fencing numbers")(
        "weights", options::value<std::string>()->default_value(""), "URL of the weight store")(
        "load-ms", options::value<std::uint64_t>()->default_value(50), "time of a load, without the fetch")("unload-ms",
        options::value<std::uint64_t>()->default_value(20),
        "time of an unload")("token-ms", options::value<std::uint64_t>()->default_value(1), "time of a token")(
        "slots", options::value<std::uint64_t>()->default_value(64), "completions at once");
    return runStandin("standin-engine", argc, argv, own, makeEngine);
}
