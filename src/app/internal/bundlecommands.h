#pragma once

#include "app/icommand.h"

namespace lagoon::app {

/// Makes the command `bundle check | sign-off | roll-out | status`.
std::unique_ptr<ICommand> makeBundleCommand();

} // namespace lagoon::app
