#include "soak/runlog.h"

#include <iostream>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Routers and agents find each other and the store again within this time after a fault.
constexpr Milliseconds aftermath { 5000 };

} // namespace

RunLog::RunLog(std::uint64_t seed, bool isLoud)
    : begunAt_(std::chrono::steady_clock::now())
    , random_(seed)
    , isLoud_(isLoud)
{
}

Milliseconds RunLog::drawTime(std::uint64_t least, std::uint64_t more) { return Milliseconds(least + draw(more)); }

std::string RunLog::when(SteadyTime at) const
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(at - begunAt_).count()) + " ms";
}

void RunLog::note(const std::string& what)
{
    notes_.push_back(when(std::chrono::steady_clock::now()) + ": " + what);
    if (isLoud_)
        std::cout << notes_.back() << std::endl;
}

void RunLog::didStrike(ActiveFaults& open, std::optional<std::size_t> router)
{
    open.push_back(faults_.size());
    faults_.push_back({ router, std::chrono::steady_clock::now(), std::nullopt });
}

void RunLog::didHeal(ActiveFaults& open)
{
    for (const std::size_t number : open)
        faults_[number].until = std::chrono::steady_clock::now();
    open.clear();
}

bool RunLog::wasStruck(std::size_t router, SteadyTime from, SteadyTime to) const
{
    for (const Fault& fault : faults_) {
        const bool isThere = !fault.router || *fault.router == router;
        const bool isOverBefore = fault.until && *fault.until + aftermath < from;
        if (isThere && fault.from <= to && !isOverBefore)
            return true;
    }
    return false;
}

} // namespace lagoon::soak
