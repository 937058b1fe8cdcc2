#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

/// For the unit tests of all modules; never part of the program.
namespace lagoon::framework {

/// A control thread and clock that a test moves by hand.
class ManualControl final : public IControlExecutor, public IClock {
public:
    explicit ManualControl(SteadyTime start = SteadyTime(std::chrono::hours(1)))
        : now_(start)
    {
    }

    /// From any thread, as with the real one.
    void post(std::function<void()> action) override;
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    SteadyTime now() const override { return now_; }

    /// Runs what was posted, and what that posts, until nothing is left.
    void runPosted();
    /// Waits until another thread has posted something, then runs as `runPosted`. False: nothing came in 30 s.
    [[nodiscard]] bool waitAndRunPosted();
    /// Moves the clock to each timer that is due on the way, in order.
    void advance(Milliseconds);
    /// Forgets all that was posted or armed, as when the process dies.
    void dropAll();

private:
    class ManualTimer;
    struct Armed {
        std::function<void()> action;
    };

    // Read by other threads as well, which is why it is atomic; moved by the test's.
    std::atomic<SteadyTime> now_;
    std::function<void()> takePosted();

    std::mutex mutex_;
    std::condition_variable wasPosted_;
    std::deque<std::function<void()>> posted_;
    std::multimap<Deadline, std::shared_ptr<Armed>> timers_;
};

} // namespace lagoon::framework
