#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/types/vmentry.h"

#include <cstdint>
#include <stop_token>

namespace lagoon::objectstore {

/// The list as of one version; `waitForChange` compares this version.
struct VmListSnapshot {
    std::uint64_t version = 0;
    VmEntries vms;
};

/// The platform's list of VMs, which lags behind the actual state. Calls block. Thread-safe.
class IVmList {
public:
    virtual ~IVmList() = default;
    /// Waits until the list's version differs from `known` and returns the list; returns the unchanged list if the
    /// deadline passes first. If `known` is 0, returns at once. A stop request ends the wait at once, as if the
    /// platform hadn't answered.
    virtual framework::Result<VmListSnapshot> waitForChange(
        std::uint64_t known, framework::Deadline, std::stop_token = {})
        = 0;
};

} // namespace lagoon::objectstore
