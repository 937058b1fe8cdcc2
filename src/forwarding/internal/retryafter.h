#pragma once

#include "framework/types/time.h"

namespace lagoon::forwarding {

/// Retry-After for a request that failed because a server had no free slot or a connection failed; most such conditions
/// have passed by then. The value is drawn between this and twice this, so that callers that were refused together
/// don't retry together.
inline constexpr framework::Milliseconds minRetryAfter { 250 };
/// Retry-After if no server is known: the platform takes a second or two to provide one.
inline constexpr framework::Milliseconds retryAfterWithoutServer { 1000 };

/// Returns a time between this and twice this.
framework::Milliseconds jittered(framework::Milliseconds base);
/// Returns a part of the wait to be added to it, so that requests that were refused together don't come back together.
framework::Milliseconds jitter(framework::Milliseconds wait);

} // namespace lagoon::forwarding
