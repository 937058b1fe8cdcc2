#include "app/internal/commandgroup.h"

#include <iomanip>
#include <iostream>

namespace lagoon::app {

namespace {

constexpr int nameWidth = 12;

class CommandGroup final : public ICommand {
public:
    CommandGroup(std::string name, std::string summary, Commands commands)
        : name_(std::move(name))
        , summary_(std::move(summary))
        , commands_(std::move(commands))
    {
    }

    std::string name() const override { return name_; }
    std::string summary() const override { return summary_; }

    int run(const std::vector<std::string>& arguments) override
    {
        if (arguments.empty()) {
            printHelp(std::cerr);
            return ExitUsage;
        }
        if (arguments.front() == "--help") {
            printHelp(std::cout);
            return ExitSuccess;
        }
        ICommand* const command = findCommand(commands_, arguments.front());
        if (command)
            return command->run({ arguments.begin() + 1, arguments.end() });
        std::cerr << "lagoonrouter " << name_ << ": no command \"" << arguments.front() << "\"\n";
        printHelp(std::cerr);
        return ExitUsage;
    }

private:
    void printHelp(std::ostream& stream) const
    {
        stream << "usage: lagoonrouter " << name_ << " COMMAND [OPTION]...\n\nCommands (each takes --help):\n";
        printCommands(commands_, stream);
    }

    std::string name_;
    std::string summary_;
    Commands commands_;
};

} // namespace

void printCommands(const Commands& commands, std::ostream& stream)
{
    for (const auto& command : commands)
        stream << "  " << std::left << std::setw(nameWidth) << command->name() << command->summary() << "\n";
}

ICommand* findCommand(const Commands& commands, const std::string& name)
{
    for (const auto& command : commands) {
        if (command->name() == name)
            return command.get();
    }
    return nullptr;
}

std::unique_ptr<ICommand> makeCommandGroup(std::string name, std::string summary, Commands commands)
{
    return std::make_unique<CommandGroup>(std::move(name), std::move(summary), std::move(commands));
}

} // namespace lagoon::app
