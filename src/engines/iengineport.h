#pragma once

#include "engines/types/enginereport.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "notices/types/servernotice.h"

#include <functional>

namespace lagoon::engines {

/// Calls to the engine on the agent's VM. They don't block; each handler runs once, on the control thread.
class IEnginePort {
public:
    virtual ~IEnginePort() = default;
    /// The notice is that of the answer's head, also if the answer has no report.
    using ReportHandler = std::function<void(framework::Result<EngineReport>, const notices::ServerNotice&)>;
    using OrderHandler = std::function<void(const OrderAnswer&)>;

    virtual void report(framework::Deadline, ReportHandler) = 0;
    /// Sends the order once, without retries. The deadline is for the answer; the order itself may take much longer.
    virtual void order(const Order&, const OrderPreconditions&, framework::Deadline, OrderHandler) = 0;
};

} // namespace lagoon::engines
