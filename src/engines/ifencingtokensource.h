#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <functional>

namespace lagoon::engines {

/// Issues an agent's fencing tokens. Each token is greater than all tokens issued before, to any agent.
class IFencingTokenSource {
public:
    virtual ~IFencingTokenSource() = default;
    using Handler = std::function<void(framework::Result<framework::FencingToken>)>;
    /// The handler runs once, on the control thread.
    virtual void next(framework::Deadline, Handler) = 0;
};

} // namespace lagoon::engines
