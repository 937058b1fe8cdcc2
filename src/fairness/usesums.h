#pragma once

#include "fairness/types/customeruse.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <map>

namespace lagoon::fairness {

/// The use of customers over all routers.
struct SummedUse {
    UseReport use;
    /// The number of routers whose reports were added up.
    std::uint32_t routers = 0;
};

/// Reports and sums that are older say nothing about the present.
inline constexpr framework::Milliseconds maxUseAge { 3000 };
/// Each router and each agent sends this often.
inline constexpr framework::Milliseconds useInterval { 1000 };

/// Adds up the last reports of all routers. Does no I/O and reads no clock.
class UseSums {
public:
    void set(const framework::VmName& router, UseReport, framework::SteadyTime now);
    /// Returns the sums, with at most `maxNamedCustomers` by name, and forgets routers whose last report is too old.
    SummedUse sums(framework::SteadyTime now);

private:
    struct Stated {
        UseReport report;
        framework::SteadyTime at {};
    };

    std::map<framework::VmName, Stated> routers_;
};

/// A router's view of the sums, which several agents send it.
class LatestUse {
public:
    /// Takes the sums unless there are recent ones of more routers: an agent that has just started has heard few.
    void set(SummedUse, framework::SteadyTime now);
    /// Returns nullptr if the sums are too old.
    const SummedUse* find(framework::SteadyTime now) const;
    framework::Milliseconds age(framework::SteadyTime now) const;

private:
    SummedUse sums_;
    framework::SteadyTime at_ {};
    bool isSet_ = false;
};

} // namespace lagoon::fairness
