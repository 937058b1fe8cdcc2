#pragma once

#include "agent/types/replicaid.h"
#include "framework/types/ids.h"

#include <map>

namespace lagoon::agent {

/// The accelerator memory of one upstream. Memory is reserved before a load is ordered and freed only after the engine
/// confirmed that the replica is gone, so the sum of what it may have to hold never passes what there is. Pure.
class MemoryAccount {
public:
    /// What the engine says there is; before that nothing can be reserved.
    void setTotal(framework::MebiBytes total);
    /// False if it doesn't fit; a replica that has a reservation keeps it, which must suffice.
    [[nodiscard]] bool reserve(const ReplicaId&, framework::MebiBytes);
    /// Enters what the engine holds whether or not it fits: the account follows the truth.
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
