#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>

/// For the unit tests of all modules; never part of the program.
namespace lagoon::framework {

/// A control thread and clock that a test moves by hand.
class ManualControl final : public IControlExecutor, public IClock {
public:
    void post(std::function<void()> action) override { posted_.push_back(std::move(action)); }
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    SteadyTime now() const override { return now_; }

    /// Runs what was posted, and what that posts, until nothing is left.
    void runPosted();
    /// Moves the clock to each timer that is due on the way, in order.
    void advance(Milliseconds);

private:
    class ManualTimer;
    struct Armed {
        std::function<void()> action;
    };

    SteadyTime now_ = SteadyTime(std::chrono::hours(1));
    std::deque<std::function<void()>> posted_;
    std::multimap<Deadline, std::shared_ptr<Armed>> timers_;
};

} // namespace lagoon::framework
