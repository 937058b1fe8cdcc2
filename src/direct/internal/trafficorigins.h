#pragma once

#include "framework/eventthread.h"
#include "framework/icontrolexecutor.h"
#include "streams/istreamorigins.h"

#include <functional>

namespace lagoon::direct {

/// Makes the origins of streams, which belong to the control thread, available to the traffic thread. Handlers are
/// called on the traffic thread.
class TrafficOrigins final : public streams::IStreamOrigins {
public:
    using Target = std::function<streams::IStreamOrigins&()>;

    TrafficOrigins(framework::IControlExecutor&, framework::EventThread& traffic, Target);

    void record(const streams::DispatchRecord&) override;
    void retract(const streams::DispatchRecord&, std::function<void(bool)>) override;
    void find(const streams::AttemptKey&, std::function<void(const streams::OriginAnswer&)>) override;

private:
    framework::IControlExecutor& control_;
    framework::EventThread& traffic_;
    Target target_;
};

} // namespace lagoon::direct
