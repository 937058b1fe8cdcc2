#pragma once

#include "framework/types/ids.h"
#include "quotas/types/draw.h"
#include "wire/types/message.h"

#include <cstdint>
#include <optional>
#include <vector>

/// Conversion of the frames about customers' quotas.
namespace lagoon::quotas {

/// An amount of a quota that was used.
struct PastUse {
    framework::Milliseconds age { 0 };
    double amount = 0;
};

/// What a router has used of a customer's quota of late.
struct CustomerPastUse {
    catalog::CustomerName customer;
    std::vector<PastUse> uses;
};

/// What a router says about itself to a keeper.
struct RouterStanding {
    framework::VmName router;
    /// The name by which routers know the keeper that gets this.
    framework::Endpoint keeper;
    /// The keepers that the router can use.
    std::vector<framework::Endpoint> usable;
    /// `usable` is as it was last stated, and left out with all that follows from it.
    bool isUnchanged = false;
    /// The most routers that it knows of.
    std::uint32_t routers = 0;
    /// The router's uses of the quotas for which it asks the keeper.
    std::vector<CustomerPastUse> past;
    /// For how long the router has kept account of its uses.
    framework::Milliseconds remembered { 0 };
};

struct DrawQuery {
    DrawNumber number;
    QuotaDraw draw;
};

struct DrawDecision {
    DrawNumber number;
    bool isGranted = false;
    framework::Milliseconds retryAfter { 0 };
    /// The keeper has less than half of the quota, so a denial doesn't mean that the customer is over it.
    bool isPartial = false;
};

struct QuotaUpdate {
    std::optional<RouterStanding> standing;
    std::vector<DrawQuery> asked;
    std::vector<QuotaDraw> returned;
    std::vector<QuotaDraw> charged;
    std::vector<DrawDecision> answered;
    /// The number of all routers, as the keeper counts them; 0 if it isn't said.
    std::uint32_t routers = 0;
    /// What may be used in advance by all routers together, in each quota's unit.
    double tolerance = 0;
};

wire::Message toWire(const QuotaUpdate&);
/// Leaves out entries that can't be read.
QuotaUpdate fromWire(const wire::fb::CustomerQuotasT&);

} // namespace lagoon::quotas
