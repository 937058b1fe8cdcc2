#pragma once

#include "framework/types/ids.h"
#include "streams/types/streamorigin.h"

#include <cstdint>
#include <vector>

namespace lagoon::streams {

/// An engine whose agent may keep records of dispatches.
struct Keeper {
    framework::Endpoint engine;
    framework::FailureDomainName failureDomain;

    friend bool operator==(const Keeper&, const Keeper&) = default;
};

/// Chooses the agents that keep the records of an attempt, by rendezvous hashing. Routers that know the same engines
/// choose the same; if their lists differ by an engine, most of the chosen are still the same.
class KeeperChoice {
public:
    void setKeepers(const std::vector<Keeper>&);
    /// Returns all keepers in the order in which they are preferred for the attempt: first one of each failure domain,
    /// then the others.
    std::vector<framework::Endpoint> order(const AttemptKey&) const;
    bool isEmpty() const { return keepers_.empty(); }

private:
    struct Hashed {
        Keeper keeper;
        std::uint64_t hash = 0;
    };

    std::vector<Hashed> keepers_;
};

} // namespace lagoon::streams
