#pragma once

#include "framework/types/time.h"

#include <functional>
#include <memory>

namespace lagoon::framework {

/// Handle of a timer. Once it is destroyed or cancelled on the control thread, the timer's action never runs.
class Timer {
public:
    virtual ~Timer() = default;
    virtual void cancel() = 0;
};

/// Runs the actions that access control state one at a time, in the order in which they were posted.
class IControlExecutor {
public:
    virtual ~IControlExecutor() = default;
    /// Can be called from any thread.
    virtual void post(std::function<void()>) = 0;
    /// Runs the action once `at` has passed, unless the returned timer has been destroyed or cancelled by then. To be
    /// called on the control thread only.
    [[nodiscard]] virtual std::unique_ptr<Timer> runAt(Deadline at, std::function<void()>) = 0;
};

} // namespace lagoon::framework
