#pragma once

#include "framework/types/error.h"

#include <cstdint>
#include <functional>

namespace lagoon::app {

enum class PortsOutcome : std::uint8_t {
    Started,
    Terminated, ///< the process was asked to terminate before it has started
};

/// Calls `start` again while its error has `retryAfter`, because another process holds a port. Returns other errors.
framework::Result<PortsOutcome> awaitPorts(const std::function<framework::Result<void>()>& start);

} // namespace lagoon::app
