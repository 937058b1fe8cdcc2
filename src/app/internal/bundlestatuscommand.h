#pragma once

#include "app/icommand.h"

namespace lagoon::app {

std::unique_ptr<ICommand> makeBundleStatusCommand();

} // namespace lagoon::app
