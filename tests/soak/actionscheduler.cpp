#include "soak/actionscheduler.h"

#include <utility>

namespace lagoon::soak {

void ActionScheduler::after(framework::Milliseconds pause, std::function<void()> action)
{
    actions_.emplace(std::chrono::steady_clock::now() + pause, std::move(action));
}

void ActionScheduler::look()
{
    while (!actions_.empty() && actions_.begin()->first <= std::chrono::steady_clock::now()) {
        const auto action = std::move(actions_.begin()->second);
        actions_.erase(actions_.begin());
        action();
    }
}

} // namespace lagoon::soak
