#pragma once

#include "framework/types/time.h"

#include <functional>
#include <memory>

namespace lagoon::framework {

/// A timer that ends with its handle: destroying or `cancel`ling it from the control thread means the action never
/// runs afterwards.
class Timer {
public:
    virtual ~Timer() = default;
    virtual void cancel() = 0;
};

/// Where control state lives: actions run one at a time, in order.
class IControlExecutor {
public:
    virtual ~IControlExecutor() = default;
    /// From any thread.
    virtual void post(std::function<void()>) = 0;
    /// Runs the action once `at` has passed, unless the returned timer is gone by then. Control thread only.
    [[nodiscard]] virtual std::unique_ptr<Timer> runAt(Deadline at, std::function<void()>) = 0;
};

} // namespace lagoon::framework
