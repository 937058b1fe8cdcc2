#include "app/internal/versioncommand.h"

#include <iostream>

namespace lagoon::app {

namespace {

class VersionCommand final : public ICommand {
public:
    std::string name() const override { return "version"; }
    std::string summary() const override { return "print the program's version"; }
    int run(const std::vector<std::string>&) override
    {
        std::cout << "lagoonrouter " LAGOON_VERSION "\n";
        return ExitSuccess;
    }
};

} // namespace

std::unique_ptr<ICommand> makeVersionCommand() { return std::make_unique<VersionCommand>(); }

} // namespace lagoon::app
