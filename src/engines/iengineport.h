#pragma once

#include "engines/types/enginereport.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

#include <functional>

namespace lagoon::engines {

/// The calls of the engine beside the agent. They don't block; handlers run on the control thread, each once.
class IEnginePort {
public:
    virtual ~IEnginePort() = default;
    using ReportHandler = std::function<void(framework::Result<EngineReport>)>;
    using OrderHandler = std::function<void(const OrderAnswer&)>;

    virtual void report(framework::Deadline, ReportHandler) = 0;
    /// Sent once. The deadline is for the answer; the order itself may go on much longer.
    virtual void order(const Order&, const OrderPreconditions&, framework::Deadline, OrderHandler) = 0;
};

} // namespace lagoon::engines
