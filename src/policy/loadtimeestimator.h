#pragma once

#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "policy/iloadplacement.h"

#include <array>
#include <cstdint>
#include <string>
#include <unordered_map>

namespace lagoon::policy {

/// Estimated duration of a load: nine in ten loads take longer than `low`, half take longer than `typical`, and one in
/// ten takes longer than `high`.
struct LoadTimeEstimate {
    framework::Milliseconds low { 0 };
    framework::Milliseconds typical { 0 };
    framework::Milliseconds high { 0 };
};

/// Estimates load times by target and checkpoint location from measurements.
///
/// An estimate is the product of an assumed time for the memory and location, a factor of the location, and a factor of
/// the target. The location's factor adapts within a few loads and decays to 1 within minutes without any: a weight
/// store that was slow an hour ago must not have requests refused as hopeless now, since without requests there would
/// be no load, and without a load no measurement that corrects the factor. The target's factor doesn't decay.
class LoadTimeEstimator {
public:
    void record(const std::string& target, CheckpointLocation, framework::MebiBytes memory,
        framework::Milliseconds took, framework::SteadyTime now);
    /// Records that a load has run for `elapsed` and hasn't ended. This counts as a measurement once it exceeds the
    /// estimate. Otherwise a store that has just become slow would be noticed only when the first slow load ends, long
    /// after the deadlines of the requests.
    void recordUnfinished(const std::string& target, CheckpointLocation, framework::MebiBytes memory,
        framework::Milliseconds elapsed, framework::SteadyTime now);
    LoadTimeEstimate estimate(
        const std::string& target, CheckpointLocation, framework::MebiBytes memory, framework::SteadyTime now) const;
    /// Number of targets that have measurements.
    std::size_t targetCount() const { return targets_.size(); }

private:
    /// The logarithm of a factor and its mean absolute deviation.
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
