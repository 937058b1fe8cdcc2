#pragma once

#include "quotas/types/draw.h"

#include <functional>

namespace lagoon::quotas {

/// Grants requests their part of their customers' quotas, so that all routers together keep to them. Belongs to the
/// traffic thread.
class ICustomerQuotas {
public:
    virtual ~ICustomerQuotas() = default;

    /// The handler is called once, after this has returned, unless the draw is withdrawn before.
    virtual DrawNumber draw(const QuotaDraw&, std::function<void(const DrawReply&)>) = 0;
    /// The reply isn't needed any more. If the draw is granted, it is given back.
    virtual void withdraw(const DrawNumber&) = 0;
    /// A request that was granted its draw has not run and never will.
    virtual void giveBack(const QuotaDraw&) = 0;
    /// Counts what is used without asking, such as a request that is sent again after it may have run.
    virtual void charge(const QuotaDraw&) = 0;
};

} // namespace lagoon::quotas
