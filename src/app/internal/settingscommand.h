#pragma once

#include "app/icommand.h"

namespace lagoon::app {

/// `settings check`.
std::unique_ptr<ICommand> makeSettingsCommand();

} // namespace lagoon::app
