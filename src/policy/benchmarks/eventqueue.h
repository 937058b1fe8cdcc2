#pragma once

#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <queue>
#include <vector>

namespace lagoon::policy::benchmarks {

/// Event queue in virtual time. Runs actions in the order of their times; actions with equal times run in the order in
/// which they were scheduled.
class EventQueue {
public:
    void at(framework::SteadyTime when, std::function<void()> action)
    {
        events_.push(Event { std::max(when, now_), next_++, std::move(action) });
    }

    framework::SteadyTime now() const { return now_; }

    /// Runs actions until none is left.
    void run()
    {
        while (!events_.empty()) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.when;
            event.action();
        }
    }

private:
    struct Event {
        framework::SteadyTime when;
        std::uint64_t number;
        std::function<void()> action;

        friend bool operator<(const Event& left, const Event& right)
        {
            return left.when != right.when ? left.when > right.when : left.number > right.number;
        }
    };

    std::priority_queue<Event> events_;
    std::uint64_t next_ = 0;
    framework::SteadyTime now_ {};
};

} // namespace lagoon::policy::benchmarks
