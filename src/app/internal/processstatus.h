#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"

#include <string>

namespace lagoon::app {

/// What a process says about itself on `GET /status`.
struct ProcessStatus {
    std::string role;
    framework::VmName vm;
    /// 0 while it has none in force.
    framework::BundleVersion bundleVersion;
};

framework::Result<ProcessStatus> readProcessStatus(const framework::Endpoint& ops, framework::Deadline);

} // namespace lagoon::app
