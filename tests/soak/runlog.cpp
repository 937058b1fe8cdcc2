#include "soak/runlog.h"

#include <iostream>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Routers and agents have reconnected to each other and to the store within this time after a fault.
constexpr Milliseconds recoveryTime { 5000 };

} // namespace

RunLog::RunLog(std::uint64_t seed, bool isVerbose)
    : begunAt_(std::chrono::steady_clock::now())
    , random_(seed)
    , isVerbose_(isVerbose)
{
}

Milliseconds RunLog::drawDuration(std::uint64_t min, std::uint64_t range) { return Milliseconds(min + draw(range)); }

std::string RunLog::elapsedText(SteadyTime at) const
{
    return std::to_string(std::chrono::duration_cast<Milliseconds>(at - begunAt_).count()) + " ms";
}

void RunLog::note(const std::string& what)
{
    notes_.push_back(elapsedText(std::chrono::steady_clock::now()) + ": " + what);
    if (isVerbose_)
        std::cout << notes_.back() << std::endl;
}

void RunLog::beginFault(ActiveFaults& active, std::optional<std::size_t> router)
{
    active.push_back(faults_.size());
    faults_.push_back({ router, std::chrono::steady_clock::now(), std::nullopt });
}

void RunLog::endFaults(ActiveFaults& active)
{
    for (const std::size_t number : active)
        faults_[number].until = std::chrono::steady_clock::now();
    active.clear();
}

bool RunLog::hadFault(std::size_t router, SteadyTime from, SteadyTime to) const
{
    for (const Fault& fault : faults_) {
        const bool affectsRouter = !fault.router || *fault.router == router;
        const bool hasEndedBefore = fault.until && *fault.until + recoveryTime < from;
        if (affectsRouter && fault.from <= to && !hasEndedBefore)
            return true;
    }
    return false;
}

} // namespace lagoon::soak
