#pragma once

#include "app/icommand.h"

#include <memory>

namespace lagoon::app {

/// `quarantine list` and `quarantine release`: shows the requests that crashed their servers, and releases one.
std::unique_ptr<ICommand> makeQuarantineCommand();

} // namespace lagoon::app
