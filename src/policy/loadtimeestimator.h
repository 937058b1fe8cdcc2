#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/iloadplacement.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace lagoon::policy {

/// How long a load takes: nine in ten take longer than `low`, half longer than `typical`, one in ten longer than
/// `high`.
struct LoadTimeEstimate {
    framework::Milliseconds low { 0 };
    framework::Milliseconds typical { 0 };
    framework::Milliseconds high { 0 };
};

/// Load times by target and checkpoint place, learned from measurements.
///
/// A time is taken as (a guess from the memory and the place) x (a factor of the place now) x (a factor of the target).
/// The place's factor follows within a few loads and fades to 1 in minutes without any: a weight store that was slow
/// an hour ago must not have requests refused as hopeless now, since with no request there would be no load, and with
/// no load no measurement that says otherwise. The target's factor is kept.
class LoadTimeEstimator {
public:
    void record(const std::string& target, CheckpointLocation, framework::MebiBytes memory,
        framework::Milliseconds took, framework::SteadyTime now);
    /// A load that has run this long and hasn't ended is a measurement too, once it exceeds the estimate. Otherwise a
    /// store that has just become slow would be noticed only when the first slow load ends, long after the deadlines.
    void recordUnfinished(const std::string& target, CheckpointLocation, framework::MebiBytes memory,
        framework::Milliseconds elapsed, framework::SteadyTime now);
    LoadTimeEstimate estimate(
        const std::string& target, CheckpointLocation, framework::MebiBytes memory, framework::SteadyTime now) const;
    /// Targets for which anything was recorded.
    std::size_t targetCount() const { return targets_.size(); }

private:
    /// A factor's logarithm and its mean deviation.
    struct Factor {
        double logarithm = 0;
        double deviation = 0;
        std::uint32_t samples = 0;
        framework::SteadyTime last {};
    };
    static constexpr std::size_t locationCount = 3;

    static double decayed(const Factor&, framework::SteadyTime now);

    std::array<Factor, locationCount> locationFactors_ {};
    std::unordered_map<std::string, std::array<Factor, locationCount>> targets_;
};

} // namespace lagoon::policy
