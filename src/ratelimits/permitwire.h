#pragma once

#include "framework/types/time.h"
#include "ratelimits/types/permit.h"
#include "ratelimits/types/serverlimit.h"
#include "wire/types/message.h"

#include <vector>

/// Conversion of the frames about permits. Times on the wire are relative to the frame's sending.
namespace lagoon::ratelimits {

struct PermitQuery {
    PermitNumber number;
    ServerRunKey server;
    std::uint32_t priority = 0;
    framework::Deadline neededBy;
};

struct PermitUpdate {
    std::vector<LimitStatement> limits;
    std::vector<PermitQuery> asked;
    std::vector<PermitNumber> withdrawn;
    std::vector<PermitDecision> answered;

    bool isEmpty() const { return limits.empty() && asked.empty() && withdrawn.empty() && answered.empty(); }
};

wire::Message toWire(const PermitUpdate&, framework::SteadyTime now);
/// Leaves out entries that can't be read. The decisions name no client.
PermitUpdate fromWire(const wire::fb::ServerPermitsT&, framework::SteadyTime now);

} // namespace lagoon::ratelimits
