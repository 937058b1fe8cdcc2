#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <string>

namespace lagoon::app {

/// The common part of the answers of all processes to `GET /status`.
struct ProcessStatus {
    std::string role;
    framework::VmName vm;
    /// 0 while the process has no bundle in force.
    framework::BundleVersion bundleVersion;
};

/// Requests the status of the process with this ops endpoint.
framework::Result<ProcessStatus> readProcessStatus(const framework::Endpoint& ops, framework::Deadline);

} // namespace lagoon::app
