#include "standins/platform/platformstandin.h"

using namespace lagoon::standins;

int main(int argc, char** argv)
{
    return runStandin("standin-platform", argc, argv, {},
        [](const auto&, ReadyLine&) -> std::shared_ptr<IStandin> { return std::make_shared<PlatformStandin>(); });
}
