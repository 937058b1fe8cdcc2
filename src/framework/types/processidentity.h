#pragma once

#include "framework/types/ids.h"

namespace lagoon::framework {

/// Who a process is and where; from its settings, never guessed.
struct ProcessIdentity {
    VmName vm;
    SiteName site;
    FailureDomainName failureDomain;
};

} // namespace lagoon::framework
