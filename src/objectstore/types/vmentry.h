#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <vector>

namespace lagoon::objectstore {

enum class VmRole : std::uint8_t { Router, Upstream };

/// `Gone` is the platform's word that the VM's processes and its accelerators' content no longer exist. A VM that is
/// merely absent from the list may be new, since the list lags; only `Gone` frees a claim.
enum class VmState : std::uint8_t { Live, Leaving, Gone };

struct VmEntry {
    framework::VmName vm;
    VmRole role = VmRole::Upstream;
    VmState state = VmState::Live;
    framework::SiteName site;
    framework::FailureDomainName failureDomain;
    /// Empty for routers.
    framework::PoolName pool;
    /// Where the lagoonrouter process on the VM accepts links.
    framework::Endpoint endpoint;
};

using VmEntries = std::vector<VmEntry>;

} // namespace lagoon::objectstore
