#include "forwarding/internal/retryafter.h"

#include "framework/randomid.h"

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

constexpr double maxRetryJitter = 0.25;

} // namespace

Milliseconds jittered(Milliseconds base)
{
    return base + Milliseconds(static_cast<std::int64_t>(framework::randomFraction() * base.count()));
}

Milliseconds jitter(Milliseconds wait)
{
    const double fraction = framework::randomFraction() * maxRetryJitter;
    return Milliseconds(static_cast<std::int64_t>(fraction * static_cast<double>(wait.count())));
}

} // namespace lagoon::forwarding
