#pragma once

#include "agent/types/target.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

namespace lagoon::agent {

/// Knows which targets are served on this VM now, and keeps a target served while requests use it. Control thread only.
class IServedTargets {
public:
    virtual ~IServedTargets() = default;
    /// Keeps the target served until `endUse`. Fails if the target isn't served; the request was not run then.
    virtual framework::Result<void> beginUse(const Target&, framework::SteadyTime now) = 0;
    virtual void endUse(const Target&, framework::SteadyTime now) = 0;
};

} // namespace lagoon::agent
