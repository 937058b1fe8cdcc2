#include "framework/testing/manualcontrol.h"

#include <utility>

namespace lagoon::framework {

class ManualControl::ManualTimer final : public Timer {
public:
    explicit ManualTimer(std::shared_ptr<Armed> armed)
        : armed_(std::move(armed))
    {
    }
    ~ManualTimer() override { armed_->action = nullptr; }
    void cancel() override { armed_->action = nullptr; }

private:
    std::shared_ptr<Armed> armed_;
};

std::unique_ptr<Timer> ManualControl::runAt(Deadline at, std::function<void()> action)
{
    auto armed = std::make_shared<Armed>(Armed { std::move(action) });
    timers_.emplace(at, armed);
    return std::make_unique<ManualTimer>(armed);
}

void ManualControl::runPosted()
{
    while (!posted_.empty()) {
        const auto action = std::move(posted_.front());
        posted_.pop_front();
        action();
    }
}

void ManualControl::advance(Milliseconds duration)
{
    const SteadyTime end = now_ + duration;
    runPosted();
    while (!timers_.empty() && timers_.begin()->first.at() <= end) {
        const auto timer = timers_.extract(timers_.begin());
        now_ = std::max(now_, timer.key().at());
        if (const auto action = std::exchange(timer.mapped()->action, nullptr))
            action();
        runPosted();
    }
    now_ = end;
}

} // namespace lagoon::framework
