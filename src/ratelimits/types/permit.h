#pragma once

#include "framework/types/strongtype.h"
#include "framework/types/time.h"
#include "ratelimits/types/serverlimit.h"

#include <compare>
#include <cstdint>

namespace lagoon::ratelimits {

/// Identifies, at a process that grants permits, one that asks for them.
using PermitClient = framework::StrongType<struct PermitClientTag, std::uint64_t>;
/// Chosen by the client; never used twice by it.
using PermitNumber = framework::StrongType<struct PermitNumberTag, std::uint64_t>;

struct PermitId {
    PermitClient client;
    PermitNumber number;

    friend auto operator<=>(const PermitId&, const PermitId&) = default;
};

/// A request that is to be sent to a limited server.
struct PermitRequest {
    PermitId id;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    framework::SteadyTime askedAt {};
    /// The permit is of no use later.
    framework::Deadline neededBy;
};

struct PermitDecision {
    PermitId id;
    bool isGranted = false;
    /// How long the request waited for the decision.
    framework::Milliseconds waited { 0 };
    /// For a denial: when a permit could be granted.
    framework::Milliseconds retryAfter { 0 };
};

} // namespace lagoon::ratelimits
