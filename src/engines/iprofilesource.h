#pragma once

#include "catalog/types/configuration.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

#include <functional>

namespace lagoon::engines {

/// Provides an agent with the sizes and load times of models.
class IProfileSource {
public:
    virtual ~IProfileSource() = default;
    using Handler = std::function<void(framework::Result<catalog::ConfigurationPointer>)>;
    /// Reads a recent configuration, which may be seconds old. The handler runs once, on the control thread.
    virtual void read(framework::Deadline, Handler) = 0;
};

} // namespace lagoon::engines
