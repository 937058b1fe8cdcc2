#pragma once

#include "app/icommand.h"

namespace lagoon::app {

std::unique_ptr<ICommand> makeDirectRouterCommand();

} // namespace lagoon::app
