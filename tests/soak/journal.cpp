#include "soak/journal.h"

#include <iostream>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Routers and agents find each other and the store again within this time after a fault.
constexpr Milliseconds aftermath { 5000 };

} // namespace

Journal::Journal(std::uint64_t seed, bool isLoud)
    : begunAt_(std::chrono::steady_clock::now())
    , random_(seed)
    , isLoud_(isLoud)
{
}

Milliseconds Journal::drawTime(std::uint64_t least, std::uint64_t more) { return Milliseconds(least + draw(more)); }

std::string Journal::when(SteadyTime at) const
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(at - begunAt_).count()) + " ms";
}

void Journal::note(const std::string& what)
{
    notes_.push_back(when(std::chrono::steady_clock::now()) + ": " + what);
    if (isLoud_)
        std::cout << notes_.back() << std::endl;
}

void Journal::didStrike(OpenStrikes& open, std::optional<std::size_t> router)
{
    open.push_back(strikes_.size());
    strikes_.push_back({ router, std::chrono::steady_clock::now(), std::nullopt });
}

void Journal::didHeal(OpenStrikes& open)
{
    for (const std::size_t number : open)
        strikes_[number].until = std::chrono::steady_clock::now();
    open.clear();
}

bool Journal::wasStruck(std::size_t router, SteadyTime from, SteadyTime to) const
{
    for (const Strike& strike : strikes_) {
        const bool isThere = !strike.router || *strike.router == router;
        const bool isOverBefore = strike.until && *strike.until + aftermath < from;
        if (isThere && strike.from <= to && !isOverBefore)
            return true;
    }
    return false;
}

} // namespace lagoon::soak
