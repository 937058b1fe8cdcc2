#include "standins/service/servicestandin.h"

using namespace lagoon::standins;
using lagoon::framework::Milliseconds;
namespace options = boost::program_options;

int main(int argc, char** argv)
{
    options::options_description own("service");
    own.add_options()("work-ms", options::value<std::uint64_t>()->default_value(0), "time of a call");
    return runStandin(
        "standin-service", argc, argv, own, [](const auto& values, ReadyLine&) -> std::shared_ptr<IStandin> {
            return std::make_shared<ServiceStandin>(Milliseconds(values["work-ms"].template as<std::uint64_t>()));
        });
}
