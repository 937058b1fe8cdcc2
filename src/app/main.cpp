#include "app/internal/agentcommand.h"
#include "app/internal/routercommand.h"
#include "app/internal/versioncommand.h"

#include <iostream>

using namespace lagoon::app;

namespace {

Commands allCommands()
{
    Commands commands;
    commands.push_back(makeRouterCommand());
    commands.push_back(makeAgentCommand());
    commands.push_back(makeVersionCommand());
    return commands;
}

void printHelp(const Commands& commands, std::ostream& stream)
{
    stream << "usage: lagoonrouter COMMAND [OPTION]...\n\nCommands (each takes --help):\n";
    for (const auto& command : commands)
        stream << "  " << command->name() << std::string(12 - std::min<std::size_t>(11, command->name().size()), ' ')
               << command->summary() << "\n";
}

} // namespace

int main(int argc, char** argv)
{
    const std::vector<std::string> words(argv + 1, argv + argc);
    const Commands commands = allCommands();
    if (words.empty()) {
        printHelp(commands, std::cerr);
        return ExitUsage;
    }
    if (words.front() == "--help" || words.front() == "help") {
        printHelp(commands, std::cout);
        return ExitSuccess;
    }
    for (const auto& command : commands) {
        if (command->name() == words.front())
            return command->run({ words.begin() + 1, words.end() });
    }
    std::cerr << "lagoonrouter: no command \"" << words.front() << "\"\n";
    printHelp(commands, std::cerr);
    return ExitUsage;
}
