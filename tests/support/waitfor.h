#pragma once

#include "framework/types/time.h"

#include <functional>
#include <string>

namespace lagoon::testsupport {

/// Far longer than anything takes on a busy machine: tests wait for conditions, this only ends those that never come.
inline constexpr framework::Milliseconds conditionTimeout { 30000 };

/// Looks at the condition again and again; false if it didn't come true.
bool isReached(const std::function<bool()>& condition, framework::Milliseconds timeout = conditionTimeout);

/// As `isReached`, but throws std::runtime_error naming `what`.
void waitFor(const std::string& what, const std::function<bool()>& condition);

} // namespace lagoon::testsupport
