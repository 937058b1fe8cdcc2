#include "soak/actionscheduler.h"

#include <utility>

namespace lagoon::soak {

void ActionScheduler::schedule(framework::Milliseconds delay, std::function<void()> action)
{
    actions_.emplace(std::chrono::steady_clock::now() + delay, std::move(action));
}

void ActionScheduler::runDue()
{
    while (!actions_.empty() && actions_.begin()->first <= std::chrono::steady_clock::now()) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
}

} // namespace lagoon::soak
