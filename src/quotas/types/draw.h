#pragma once

#include "catalog/types/customer.h"
#include "catalog/types/units.h"
#include "framework/types/strongtype.h"
#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::quotas {

/// Chosen by the router; never used twice by it.
using DrawNumber = framework::StrongType<struct DrawNumberTag, std::uint64_t>;

/// What one request uses of its customer's quota.
struct QuotaDraw {
    catalog::CustomerName customer;
    /// The quota as the configuration of this version has it.
    catalog::Quota quota;
    catalog::ConfigurationVersion version;
    /// In the quota's unit.
    double cost = 1;
    /// When the caller needs the first of its answer.
    framework::Deadline neededBy;
};

enum class DrawOutcome : std::uint8_t {
    Granted,
    OverQuota,
    Undecided, ///< nobody that may decide can be reached
};

struct DrawReply {
    DrawOutcome outcome = DrawOutcome::Undecided;
    /// For all but `Granted`: when the request could be granted.
    framework::Milliseconds retryAfter { 0 };
    /// Who decided, for the log.
    const char* source = "";
};

} // namespace lagoon::quotas
