#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::policy {

/// A load that waits for one of the weight store's slots.
struct PendingLoad {
    std::string target;
    framework::Deadline earliestDeadline;
    std::uint32_t waiters = 0;
    framework::SteadyTime since {};
    framework::Milliseconds expectedLoad { 0 };
    /// Highest priority among the waiting requests.
    std::uint8_t priority = 0;
};

/// Decides in which order loads start.
class ILoadOrder {
public:
    virtual ~ILoadOrder() = default;
    /// Returns the index of the load to start next, std::nullopt if the list is empty.
    virtual std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const = 0;
};

/// Returns the indices of all loads in the order in which they start.
std::vector<std::size_t> loadSequence(const ILoadOrder&, const std::vector<PendingLoad>&, framework::SteadyTime now);

} // namespace lagoon::policy
