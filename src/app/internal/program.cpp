#include "app/internal/program.h"

#include "app/internal/agentcommand.h"
#include "app/internal/bundlecommands.h"
#include "app/internal/claimcommand.h"
#include "app/internal/commandgroup.h"
#include "app/internal/directagentcommand.h"
#include "app/internal/directroutercommand.h"
#include "app/internal/quarantinecommand.h"
#include "app/internal/routercommand.h"
#include "app/internal/settingscommand.h"
#include "app/internal/versioncommand.h"
#include "framework/addressspace.h"
#include "framework/processsignal.h"
#include "framework/terminatehandler.h"

#include <iostream>

using namespace lagoon::app;

namespace {

Commands allCommands()
{
    Commands commands;
    commands.push_back(makeRouterCommand());
    commands.push_back(makeAgentCommand());
    commands.push_back(makeDirectRouterCommand());
    commands.push_back(makeDirectAgentCommand());
    commands.push_back(makeBundleCommand());
    commands.push_back(makeClaimCommand());
    commands.push_back(makeQuarantineCommand());
    commands.push_back(makeSettingsCommand());
    commands.push_back(makeVersionCommand());
    return commands;
}

void printHelp(const Commands& commands, std::ostream& stream)
{
    stream << "usage: lagoonrouter COMMAND [OPTION]...\n\nCommands (each takes --help):\n";
    printCommands(commands, stream);
}

} // namespace

int lagoonrouterMain(int argc, char** argv)
{
    lagoon::framework::installTerminateHandler();
    lagoon::framework::limitReservedAddressSpace();
    const std::vector<std::string> arguments(argv + 1, argv + argc);
    const Commands commands = allCommands();
    if (arguments.empty()) {
        printHelp(commands, std::cerr);
        return ExitUsage;
    }
    if (arguments.front() == "--help" || arguments.front() == "help") {
        printHelp(commands, std::cout);
        return ExitSuccess;
    }
    ICommand* const command = findCommand(commands, arguments.front());
    if (command) {
        if (!command->handlesSignals())
            lagoon::framework::unblockProcessSignals();
        return command->run({ arguments.begin() + 1, arguments.end() });
    }
    std::cerr << "lagoonrouter: no command \"" << arguments.front() << "\"\n";
    printHelp(commands, std::cerr);
    return ExitUsage;
}
