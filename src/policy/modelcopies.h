#pragma once

#include <cstdint>

namespace lagoon::policy {

/// How many engines should hold a model whose requests, over all routers, take this part of one engine's time.
std::uint32_t desiredCopies(double work);

/// Whether so many requests come that one load after another, or the loss of one engine, would be felt.
bool isBusyModel(double work);

/// Whether the engines that hold the model have more of its work than they can do, so that another copy helps more
/// callers than whatever else an engine could load.
bool isOverloaded(double work, std::uint32_t holders);

} // namespace lagoon::policy
