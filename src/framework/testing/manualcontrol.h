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

/// Test doubles for the unit tests of all modules; not linked into the program.
namespace lagoon::framework {

/// A control thread and clock that a test advances explicitly.
class ManualControl final : public IControlExecutor, public IClock {
public:
    explicit ManualControl(SteadyTime start = SteadyTime(std::chrono::hours(1)))
        : now_(start)
    {
    }

    /// Can be called from any thread, as with a real control thread.
    void post(std::function<void()> action) override;
    std::unique_ptr<Timer> runAt(Deadline, std::function<void()>) override;
    SteadyTime now() const override { return now_; }

    /// Runs all posted actions, including those that they post, until none is left.
    void runPosted();
    /// Waits until another thread has posted an action, then calls `runPosted`. Returns false if none is posted within
    /// 30 s.
    [[nodiscard]] bool waitAndRunPosted();
    /// Advances the clock by the duration. Timers that expire on the way run in order, each at its own time.
    void advance(Milliseconds);
    /// Drops all posted actions and timers, as when a process dies.
    void dropAll();

private:
    class ManualTimer;
    struct PendingTimer {
        std::function<void()> action;
    };

    // Atomic because other threads read it too; only the test's thread changes it.
    std::atomic<SteadyTime> now_;
    std::function<void()> takePosted();

    std::mutex mutex_;
    std::condition_variable wasPosted_;
    std::deque<std::function<void()>> posted_;
    std::multimap<Deadline, std::shared_ptr<PendingTimer>> timers_;
};

} // namespace lagoon::framework
