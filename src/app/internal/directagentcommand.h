#pragma once

#include "app/icommand.h"

namespace lagoon::app {

std::unique_ptr<ICommand> makeDirectAgentCommand();

} // namespace lagoon::app
