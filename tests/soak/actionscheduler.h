#pragma once

#include "framework/types/time.h"

#include <functional>
#include <map>

namespace lagoon::soak {

/// Runs actions after a delay, on the thread that calls `runDue`. Lets operations and faults overlap on one thread.
class ActionScheduler {
public:
    void schedule(framework::Milliseconds delay, std::function<void()> action);
    /// Runs the actions whose delay has passed.
    void runDue();
    bool isEmpty() const { return actions_.empty(); }

private:
    std::multimap<framework::SteadyTime, std::function<void()>> actions_;
};

} // namespace lagoon::soak
