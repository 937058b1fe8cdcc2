#pragma once

#include <cstdint>

namespace lagoon::policy {

/// Number of engines that should have a model loaded. `work` is the share of one engine's time that the model's
/// requests from all routers take; it exceeds 1 for more work than one engine can do.
std::uint32_t desiredCopies(double work);

/// The part of a copy, or the number of copies, that this much work is for.
double copiesForWork(double work);

/// Whether the model has so many requests that loading its copies one after the other, or the loss of one engine, would
/// delay them noticeably.
bool isBusyModel(double work);

/// Whether the model's requests are more work than the engines that have it loaded can do, so that another copy helps
/// more callers than anything else that an engine could load.
bool isOverloaded(double work, std::uint32_t holders);

} // namespace lagoon::policy
