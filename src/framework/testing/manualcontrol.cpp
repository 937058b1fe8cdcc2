#include "framework/testing/manualcontrol.h"

#include <utility>

namespace lagoon::framework {

class ManualControl::ManualTimer final : public Timer {
public:
    explicit ManualTimer(std::shared_ptr<PendingTimer> pending)
        : pending_(std::move(pending))
    {
    }
    ~ManualTimer() override { pending_->action = nullptr; }
    void cancel() override { pending_->action = nullptr; }

private:
    std::shared_ptr<PendingTimer> pending_;
};

std::unique_ptr<Timer> ManualControl::runAt(Deadline at, std::function<void()> action)
{
    auto pending = std::make_shared<PendingTimer>(PendingTimer { std::move(action) });
    timers_.emplace(at, pending);
    return std::make_unique<ManualTimer>(pending);
}

void ManualControl::post(std::function<void()> action)
{
    {
        const std::lock_guard lock(mutex_);
        posted_.push_back(std::move(action));
    }
    wasPosted_.notify_all();
}

std::function<void()> ManualControl::takePosted()
{
    const std::lock_guard lock(mutex_);
    if (posted_.empty())
        return nullptr;
    auto action = std::move(posted_.front());
    posted_.pop_front();
    return action;
}

void ManualControl::runPosted()
{
    while (const auto action = takePosted())
        action();
}

bool ManualControl::waitAndRunPosted()
{
    {
        std::unique_lock lock(mutex_);
        if (!wasPosted_.wait_for(lock, std::chrono::seconds(30), [this] { return !posted_.empty(); }))
            return false;
    }
    runPosted();
    return true;
}

void ManualControl::advance(Milliseconds duration)
{
    const SteadyTime end = now() + duration;
    runPosted();
    while (!timers_.empty() && timers_.begin()->first.at() <= end) {
        const auto timer = timers_.extract(timers_.begin());
        now_ = std::max(now(), timer.key().at());
        if (const auto action = std::exchange(timer.mapped()->action, nullptr))
            action();
        runPosted();
    }
    now_ = end;
}

void ManualControl::dropAll()
{
    const std::lock_guard lock(mutex_);
    posted_.clear();
    timers_.clear();
}

} // namespace lagoon::framework
