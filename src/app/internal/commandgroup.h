#pragma once

#include "app/icommand.h"

#include <string>

namespace lagoon::app {

/// A command whose first word chooses among others, such as `bundle`.
std::unique_ptr<ICommand> makeCommandGroup(std::string name, std::string summary, Commands);

/// A line for each command.
void printCommands(const Commands&, std::ostream&);
/// The one of that name, or null.
ICommand* findCommand(const Commands&, const std::string& name);

} // namespace lagoon::app
