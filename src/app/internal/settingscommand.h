#pragma once

#include "app/icommand.h"

namespace lagoon::app {

/// Makes the command `settings check`.
std::unique_ptr<ICommand> makeSettingsCommand();

} // namespace lagoon::app
