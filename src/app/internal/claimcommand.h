#pragma once

#include "app/icommand.h"

namespace lagoon::app {

/// Makes the command `claim release`.
std::unique_ptr<ICommand> makeClaimCommand();

} // namespace lagoon::app
