#pragma once

namespace lagoon::forwarding {

/// Prompt tokens that an engine processes per millisecond (prefill). Decisions depend only on its ratio to the other
/// costs.
inline constexpr double promptTokensPerMillisecond = 38.4;

} // namespace lagoon::forwarding
