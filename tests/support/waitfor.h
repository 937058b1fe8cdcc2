#pragma once

#include "framework/types/time.h"

#include <functional>
#include <string>

namespace lagoon::testsupport {

/// How long tests wait for a condition. Far longer than any condition takes on a busy machine, so that it only ends
/// tests whose condition never becomes true.
inline constexpr framework::Milliseconds conditionTimeout { 30000 };

/// Polls the condition until it is true; returns false if it is not true within the timeout.
bool isReached(const std::function<bool()>& condition, framework::Milliseconds timeout = conditionTimeout);

/// Polls the condition until it is true. Throws std::runtime_error with `what` if that takes longer than
/// `conditionTimeout`.
void waitFor(const std::string& what, const std::function<bool()>& condition);

} // namespace lagoon::testsupport
