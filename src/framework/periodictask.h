#pragma once

#include "framework/iclock.h"
#include "framework/icontrolexecutor.h"
#include "framework/types/time.h"

#include <functional>
#include <memory>

namespace lagoon::framework {

/// Repeats an action on the control thread. The next run is scheduled before the action runs, so that an exception of
/// the action doesn't end the repetition.
class PeriodicTask {
public:
    PeriodicTask(IControlExecutor&, const IClock&, Milliseconds interval, std::function<void()> action);
    PeriodicTask(const PeriodicTask&) = delete;
    PeriodicTask& operator=(const PeriodicTask&) = delete;

    /// Runs the action now and after each interval from now on.
    void start();
    /// Runs the action after each interval from now on, but not now.
    void startAfterInterval();
    void stop();
    bool isStarted() const { return timer_ != nullptr; }

private:
    IControlExecutor& control_;
    const IClock& clock_;
    Milliseconds interval_;
    std::function<void()> action_;
    std::unique_ptr<Timer> timer_;
};

} // namespace lagoon::framework
