#pragma once

#include "framework/types/error.h"

#include <cstdint>
#include <functional>

namespace lagoon::app {

enum class PortsOutcome : std::uint8_t {
    Started,
    Terminated, ///< the process was asked to terminate before it has started
};

using AwaitedPortReport = std::function<void(const framework::Error&)>;

/// Calls `start` again while its error has `retryAfter`, because another process holds a port. Returns other errors.
/// Calls `report`, if any, whenever the error has changed.
framework::Result<PortsOutcome> awaitPorts(
    const std::function<framework::Result<void>()>& start, const AwaitedPortReport& report = {});
/// A report for processes without a structured log.
void logAwaitedPort(const framework::Error&);

} // namespace lagoon::app
