#pragma once

#include "framework/types/time.h"

#include <functional>
#include <map>

namespace lagoon::soak {

/// What is to be done later, on the thread that looks: so that works and faults overlap.
class ActionScheduler {
public:
    void schedule(framework::Milliseconds delay, std::function<void()> action);
    /// Does what is due.
    void runDue();
    bool isEmpty() const { return actions_.empty(); }

private:
    std::multimap<framework::SteadyTime, std::function<void()>> actions_;
};

} // namespace lagoon::soak
