#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>

namespace lagoon::agent::testing {

/// Control thread and clock in one, moved by the test: nothing happens but in `settle` and `pass`.
class ManualControl final : public framework::IControlExecutor, public framework::IClock {
public:
    void post(std::function<void()> action) override { actions_.push_back(std::move(action)); }

    std::unique_ptr<framework::Timer> runAt(framework::Deadline at, std::function<void()> action) override
    {
        auto live = std::make_shared<bool>(true);
        timers_.emplace(at, Pending { live, std::move(action) });
        return std::make_unique<Handle>(live);
    }

    framework::SteadyTime now() const override { return now_; }

    /// Runs all that is posted.
    void settle()
    {
        while (!actions_.empty()) {
            auto action = std::move(actions_.front());
            actions_.pop_front();
            action();
        }
    }

    /// Lets time pass, with all timers and actions in their order.
    void pass(framework::Milliseconds duration)
    {
        const framework::Deadline until = framework::Deadline::after(now_, duration);
        settle();
        while (!timers_.empty() && timers_.begin()->first <= until) {
            auto timer = timers_.extract(timers_.begin());
            now_ = std::max(now_, timer.key().at());
            if (*timer.mapped().isLive)
                timer.mapped().action();
            settle();
        }
        now_ = until.at();
    }

    /// As when the process dies.
    void dropAll()
    {
        actions_.clear();
        timers_.clear();
    }

private:
    struct Pending {
        std::shared_ptr<bool> isLive;
        std::function<void()> action;
    };

    class Handle final : public framework::Timer {
    public:
        explicit Handle(std::shared_ptr<bool> isLive)
            : isLive_(std::move(isLive))
        {
        }
        ~Handle() override { *isLive_ = false; }
        void cancel() override { *isLive_ = false; }

    private:
        std::shared_ptr<bool> isLive_;
    };

    /// Long past for the real clock: what waits by that (`platform::updateObject`) tries once and gives up.
    framework::SteadyTime now_ { std::chrono::milliseconds(1) };
    std::deque<std::function<void()>> actions_;
    std::multimap<framework::Deadline, Pending> timers_;
};

} // namespace lagoon::agent::testing
