#pragma once

#include "framework/types/time.h"

#include <algorithm>
#include <cstdint>
#include <vector>

namespace lagoon::quotas {

/// The greatest of the values that were noted in the last while. Does no I/O and reads no clock.
class RecentMaximum {
public:
    explicit RecentMaximum(framework::Milliseconds retention)
        : retention_(retention)
    {
    }

    void note(std::uint32_t value, framework::SteadyTime now)
    {
        std::erase_if(noted_, [&](const Noted& one) { return one.value <= value; });
        noted_.push_back({ value, framework::Deadline::after(now, retention_) });
    }

    /// Returns 0 if nothing was noted.
    std::uint32_t value(framework::SteadyTime now)
    {
        std::erase_if(noted_, [&](const Noted& one) { return one.validUntil.hasPassed(now); });
        return noted_.empty() ? 0 : noted_.front().value;
    }

private:
    struct Noted {
        std::uint32_t value = 0;
        framework::Deadline validUntil;
    };

    framework::Milliseconds retention_;
    /// In descending order of the values, and so in the order of their times.
    std::vector<Noted> noted_;
};

} // namespace lagoon::quotas
