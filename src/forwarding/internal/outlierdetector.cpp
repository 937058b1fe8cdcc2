#include "forwarding/outlierdetector.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// A single failure may be accidental, so the server is excluded only until the others have taken over its requests. A
/// server that keeps failing costs a request each time it is tried, so the time doubles up to the maximum.
constexpr Milliseconds minEjectionTime { 300 };
constexpr Milliseconds maxEjectionTime { 5000 };

} // namespace

void OutlierDetector::didServe()
{
    failures_ = 0;
    ejectedUntil_ = framework::Deadline();
}

void OutlierDetector::didFail(framework::SteadyTime now)
{
    const std::uint32_t doublings = std::min<std::uint32_t>(failures_, 5);
    ejectedUntil_ = framework::Deadline::after(now, std::min(maxEjectionTime, minEjectionTime * (1 << doublings)));
    ++failures_;
}

} // namespace lagoon::forwarding
