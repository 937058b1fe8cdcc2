#pragma once

#include "agent/types/target.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace lagoon::agent {

/// Who knows whether a target is served here now, and for which requests it must stay. Control thread only.
class IServedTargets {
public:
    virtual ~IServedTargets() = default;
    /// Keeps the target served until `endUse`, or says why it isn't served; nothing was run then.
    virtual framework::Result<void> beginUse(const Target&, framework::SteadyTime now) = 0;
    virtual void endUse(const Target&, framework::SteadyTime now) = 0;
};

} // namespace lagoon::agent
