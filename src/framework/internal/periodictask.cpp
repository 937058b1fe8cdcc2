#include "framework/periodictask.h"

#include <utility>

namespace lagoon::framework {

PeriodicTask::PeriodicTask(
    IControlExecutor& control, const IClock& clock, Milliseconds interval, std::function<void()> action)
    : control_(control)
    , clock_(clock)
    , interval_(interval)
    , action_(std::move(action))
{
}

void PeriodicTask::start()
{
    startAfterInterval();
    action_();
}

void PeriodicTask::startAfterInterval()
{
    timer_ = control_.runAt(Deadline::after(clock_.now(), interval_), [this] { start(); });
}

void PeriodicTask::stop() { timer_.reset(); }

} // namespace lagoon::framework
