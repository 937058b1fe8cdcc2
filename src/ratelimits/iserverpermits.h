#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "ratelimits/types/permit.h"
#include "ratelimits/types/serverlimit.h"

#include <cstdint>
#include <functional>

namespace lagoon::ratelimits {

/// A request that is to be sent to a limited server, as its router asks for a permit.
struct PermitOrder {
    PermitNumber number;
    /// What the server said last.
    LimitStatement limit;
    /// The rate at which all routers together may send requests to the server now.
    RequestRate rate;
    framework::Endpoint endpoint;
    /// 0 is the most urgent.
    std::uint32_t priority = 0;
    /// The permit is of no use later. If this has passed, the permit is granted at once or not at all.
    framework::Deadline neededBy;
    /// The number of routers.
    std::uint32_t routers = 1;
};

struct PermitReply {
    bool isGranted = false;
    /// For a denial: when a permit could be granted.
    framework::Milliseconds retryAfter { 0 };
    /// Who decided, for the log.
    const char* source = "";
};

/// Grants the permits to send requests to limited servers, so that all routers together keep to the servers' limits.
class IServerPermits {
public:
    virtual ~IServerPermits() = default;

    /// Tells the others what a server has said.
    virtual void share(const LimitStatement&, const framework::Endpoint&) = 0;
    /// Asks for a permit. The handler is called once, unless the permit is withdrawn before.
    virtual void ask(const PermitOrder&, std::function<void(const PermitReply&)>) = 0;
    /// The permit isn't needed any more. If it was granted, it has not been used.
    virtual void withdraw(const PermitNumber&) = 0;
};

} // namespace lagoon::ratelimits
