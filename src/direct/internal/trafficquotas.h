#pragma once

#include "framework/eventthread.h"
#include "framework/icontrolexecutor.h"
#include "quotas/icustomerquotas.h"
#include "quotas/quotaexchange.h"

#include <functional>
#include <unordered_map>

namespace lagoon::direct {

/// Makes the customers' quotas, which belong to the control thread, available to the traffic thread.
class TrafficQuotas final : public quotas::ICustomerQuotas {
public:
    using Target = std::function<quotas::QuotaExchange&()>;

    TrafficQuotas(framework::IControlExecutor&, framework::EventThread& traffic, Target);

    quotas::DrawNumber draw(const quotas::QuotaDraw&, std::function<void(const quotas::DrawReply&)>) override;
    void withdraw(const quotas::DrawNumber&) override;
    void giveBack(const quotas::QuotaDraw&) override;
    void charge(const quotas::QuotaDraw&) override;

private:
    void didReply(const quotas::DrawNumber&, const quotas::DrawReply&);

    framework::IControlExecutor& control_;
    framework::EventThread& traffic_;
    Target target_;
    std::uint64_t draws_ = 0;
    /// Draws without a reply. A withdrawn one is missing, so that a reply that is on its way finds nobody.
    std::unordered_map<quotas::DrawNumber, std::function<void(const quotas::DrawReply&)>> handlers_;
};

} // namespace lagoon::direct
