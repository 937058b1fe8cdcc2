#include "soak/runlog.h"

#include <iostream>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Routers have reconnected to the store within this time after a fault.
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

void RunLog::beginFault(ActiveFaults& active, const FaultScope& scope)
{
    active.push_back(faults_.begin(scope, std::chrono::steady_clock::now()));
}

void RunLog::endFaults(ActiveFaults& active)
{
    for (const FaultRecord::Number number : active)
        faults_.end(number, std::chrono::steady_clock::now());
    active.clear();
}

bool RunLog::wasInTouch(std::size_t router, SteadyTime from, SteadyTime to) const
{
    const SteadyTime since = from - recoveryTime;
    return !faults_.hasActed(FaultScope::router(router), since, to)
        && !faults_.hasActed(FaultScope::store(), since, to);
}

} // namespace lagoon::soak
