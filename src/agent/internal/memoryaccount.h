#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/ids.h"

#include <map>

namespace lagoon::agent {

/// Accounts for the accelerator memory of one upstream. Memory is reserved before a load is ordered and freed only
/// after the engine has confirmed that the replica is gone, so the replicas that the engine may have to hold never need
/// more than the total. Does no I/O.
class MemoryAccount {
public:
    /// Sets the total reported by the engine. Nothing can be reserved before.
    void setTotal(framework::MebiBytes total);
    /// Returns false if the memory doesn't fit. An existing reservation of the replica counts towards the new one and
    /// is never reduced.
    [[nodiscard]] bool reserve(const ReplicaId&, framework::MebiBytes);
    /// Sets the memory that a replica uses in the engine, or may use once a pending order arrives, whether or not it
    /// fits: the engine's state takes precedence over the plan.
    void setReservation(const ReplicaId&, framework::MebiBytes);
    void free(const ReplicaId&);

    bool hasTotal() const { return hasTotal_; }
    framework::MebiBytes total() const { return total_; }
    framework::MebiBytes used() const;
    framework::MebiBytes available() const;

private:
    bool hasTotal_ = false;
    framework::MebiBytes total_;
    std::map<ReplicaId, framework::MebiBytes> reserved_;
};

} // namespace lagoon::agent
