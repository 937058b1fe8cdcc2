#pragma once

#include "framework/types/ids.h"

namespace lagoon::framework {

/// The VM of a process and its location. Both come from the settings and are never guessed.
struct ProcessIdentity {
    VmName vm;
    SiteName site;
    FailureDomainName failureDomain;
};

} // namespace lagoon::framework
