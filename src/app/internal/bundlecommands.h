#pragma once

#include "app/icommand.h"

namespace lagoon::app {

/// `bundle check | sign-off | roll-out | status`.
std::unique_ptr<ICommand> makeBundleCommand();

} // namespace lagoon::app
