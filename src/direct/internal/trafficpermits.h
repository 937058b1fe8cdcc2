#pragma once

#include "framework/eventthread.h"
#include "framework/icontrolexecutor.h"
#include "ratelimits/iserverpermits.h"

#include <functional>

namespace lagoon::direct {

/// Makes the permits for limited servers, which belong to the control thread, available to the traffic thread. Handlers
/// are called on the traffic thread.
class TrafficPermits final : public ratelimits::IServerPermits {
public:
    using Target = std::function<ratelimits::IServerPermits&()>;

    TrafficPermits(framework::IControlExecutor&, framework::EventThread& traffic, Target);

    void share(const ratelimits::LimitStatement&, const framework::Endpoint&) override;
    void ask(const ratelimits::PermitOrder&, std::function<void(const ratelimits::PermitReply&)>) override;
    void withdraw(const ratelimits::PermitNumber&) override;

private:
    framework::IControlExecutor& control_;
    framework::EventThread& traffic_;
    Target target_;
};

} // namespace lagoon::direct
