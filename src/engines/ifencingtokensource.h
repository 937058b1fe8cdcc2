#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <functional>

namespace lagoon::engines {

/// Where an agent gets its fencing numbers: each is greater than all that were given before, to whomever.
class IFencingTokenSource {
public:
    virtual ~IFencingTokenSource() = default;
    using Handler = std::function<void(framework::Result<framework::FencingToken>)>;
    /// The handler runs on the control thread, once.
    virtual void next(framework::Deadline, Handler) = 0;
};

} // namespace lagoon::engines
