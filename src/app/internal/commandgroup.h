#pragma once

#include "app/icommand.h"

#include <string>

namespace lagoon::app {

/// Makes a command whose first argument selects one of the subcommands, such as `bundle`.
std::unique_ptr<ICommand> makeCommandGroup(std::string name, std::string summary, Commands);

/// Prints one line with name and summary for each command.
void printCommands(const Commands&, std::ostream&);
/// Returns the command with this name, or null if there is none.
ICommand* findCommand(const Commands&, const std::string& name);

} // namespace lagoon::app
