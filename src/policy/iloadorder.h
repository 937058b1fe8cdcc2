#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::policy {

/// A load that waits for one of the weight store's places.
struct PendingLoad {
    std::string target;
    framework::Deadline earliestDeadline;
    std::uint32_t waiters = 0;
    framework::SteadyTime since {};
    framework::Milliseconds expectedLoad { 0 };
    /// Highest priority among those waiting.
    std::uint8_t priority = 0;
};

/// In which order loads start.
class ILoadOrder {
public:
    virtual ~ILoadOrder() = default;
    /// Index of the load to start next; nothing if the list is empty.
    virtual std::optional<std::size_t> next(const std::vector<PendingLoad>&, framework::SteadyTime now) const = 0;
};

/// The loads' indices, the one to start first first.
std::vector<std::size_t> loadSequence(const ILoadOrder&, const std::vector<PendingLoad>&, framework::SteadyTime now);

} // namespace lagoon::policy
