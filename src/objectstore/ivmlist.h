#pragma once

#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/types/vmentry.h"

#include <cstdint>
#include <stop_token>

namespace lagoon::objectstore {

/// A state of the list, with the number that `waitForChange` compares.
struct VmListSnapshot {
    std::uint64_t version = 0;
    VmEntries vms;
};

/// The platform's lagging list of VMs. Calls block. Thread-safe.
class IVmList {
public:
    virtual ~IVmList() = default;
    /// Returns once the list's version isn't `known`, or the same list when the deadline has passed. `known` 0 returns
    /// at once. A stop request ends the wait at once, as if the platform hadn't answered.
    virtual framework::Result<VmListSnapshot> waitForChange(
        std::uint64_t known, framework::Deadline, std::stop_token = {})
        = 0;
};

} // namespace lagoon::objectstore
