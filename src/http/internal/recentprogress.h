#pragma once

#include "framework/types/time.h"

#include <cstddef>

namespace lagoon::http {

/// How many of the bytes of a transfer have moved lately: within the last one to two windows.
class RecentProgress {
public:
    static constexpr framework::Milliseconds window { 1000 };

    void add(std::size_t bytes, framework::SteadyTime now);
    std::size_t total() const { return total_; }
    /// The bytes that have moved lately.
    std::size_t recent(framework::SteadyTime now) const;
    /// The part of all bytes that has moved lately, from 0 to 1; 1 if none has moved yet.
    double recentShare(framework::SteadyTime now) const;

private:
    std::size_t total_ = 0;
    std::size_t inWindow_ = 0;
    std::size_t inLastWindow_ = 0;
    framework::SteadyTime windowStart_ {};
};

} // namespace lagoon::http
