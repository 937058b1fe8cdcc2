#pragma once

#include "policy/benchmarks/deployment.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lagoon::policy::benchmarks {

/// The weight store: refuses loads over its rate, and shares its bandwidth among transfers beyond those that go at
/// full speed.
class StoreModel {
public:
    StoreModel(double loadsPerSecond, std::uint32_t fullSpeedLoads);

    /// 1 is the usual bandwidth. Call `advance` first.
    void setSpeed(double speed) { speed_ = speed; }
    /// False: refused for its rate.
    bool admit(framework::SteadyTime now);
    void begin(std::uint64_t load, double mebiBytes, framework::SteadyTime now);
    /// Moves all transfers on to `now`; returns one that has ended by then, which is forgotten.
    std::optional<std::uint64_t> advance(framework::SteadyTime now);
    /// When the next transfer ends if nothing changes.
    std::optional<framework::SteadyTime> nextEnd() const;
    std::uint64_t refusals() const { return refusals_; }

private:
    double bandwidthPerTransfer() const;

    double loadsPerSecond_;
    std::uint32_t fullSpeedLoads_;
    double speed_ = 1;
    double tokens_;
    framework::SteadyTime tokensUpdatedAt_ = traceStart;
    std::map<std::uint64_t, double> remaining_;
    framework::SteadyTime now_ = traceStart;
    std::uint64_t refusals_ = 0;
};

} // namespace lagoon::policy::benchmarks
