#pragma once

namespace lagoon::forwarding {

/// Prompt tokens that an engine reads in a millisecond. Only its proportion to the other costs matters for what is
/// decided by it.
inline constexpr double promptTokensPerMillisecond = 38.4;

} // namespace lagoon::forwarding
