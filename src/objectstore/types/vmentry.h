#pragma once

#include "framework/types/ids.h"

#include <cstdint>
#include <vector>

namespace lagoon::objectstore {

enum class VmRole : std::uint8_t { Router, Upstream };

/// `Gone` is the platform's guarantee that the VM's processes and the contents of its accelerators no longer exist.
/// Only `Gone` frees a claim: a VM that is merely absent from the list may be new, since the list lags.
enum class VmState : std::uint8_t { Live, Leaving, Gone };

struct VmEntry {
    framework::VmName vm;
    VmRole role = VmRole::Upstream;
    VmState state = VmState::Live;
    framework::SiteName site;
    framework::FailureDomainName failureDomain;
    /// The upstream's pool; empty for routers.
    framework::PoolName pool;
    /// Address at which the lagoonrouter process on the VM accepts links.
    framework::Endpoint endpoint;
};

using VmEntries = std::vector<VmEntry>;

} // namespace lagoon::objectstore
