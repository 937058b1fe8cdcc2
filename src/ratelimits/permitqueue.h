#pragma once

#include "framework/types/time.h"
#include "ratelimits/permitbucket.h"
#include "ratelimits/types/permit.h"
#include "ratelimits/types/serverlimit.h"

#include <cstdint>
#include <optional>
#include <set>
#include <vector>

namespace lagoon::ratelimits {

/// Grants the permits to send requests to one server at a limited rate: the most urgent request first, then the one
/// that has waited longest. A request whose turn can't come in time is denied at once. Does no I/O and reads no clock.
class PermitQueue {
public:
    explicit PermitQueue(PermitBucket bucket = PermitBucket())
        : bucket_(bucket)
    {
    }

    /// Adds a request and returns the decisions that follow, which may concern others: a more urgent request may take
    /// the turn of a less urgent one.
    std::vector<PermitDecision> ask(const PermitRequest&, RequestRate, framework::SteadyTime now);
    /// The request no longer needs a permit. If it was granted one, another request may use it.
    void withdraw(const PermitId&, RequestRate, framework::SteadyTime now);
    /// Drops the waiting requests of a client that is gone. What it was granted counts as used.
    void forgetClient(PermitClient);
    /// Returns the decisions that are due.
    std::vector<PermitDecision> decide(RequestRate, framework::SteadyTime now);
    /// Lets no permits add up for the time since the last call.
    void skip(framework::SteadyTime now) { bucket_.skip(now); }
    /// When the next permit can be granted; std::nullopt if no request waits.
    std::optional<framework::Deadline> nextDecision(RequestRate) const;
    std::size_t waiting() const { return waiting_.size(); }

private:
    struct MoreUrgent {
        bool operator()(const PermitRequest&, const PermitRequest&) const;
    };

    void refill(RequestRate, framework::SteadyTime now);
    void grantDue(std::vector<PermitDecision>&, framework::SteadyTime now);
    void denyHopeless(std::vector<PermitDecision>&, RequestRate, framework::SteadyTime now);

    std::set<PermitRequest, MoreUrgent> waiting_;
    PermitBucket bucket_;
    /// Permits that were granted recently and may still be given back.
    struct Granted {
        PermitId id;
        framework::Deadline keptUntil;
    };
    std::vector<Granted> granted_;
};

} // namespace lagoon::ratelimits
