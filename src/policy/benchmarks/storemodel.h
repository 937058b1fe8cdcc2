#pragma once

#include "policy/benchmarks/deployment.h"

#include <cstdint>
#include <map>
#include <optional>

namespace lagoon::policy::benchmarks {

/// Model of the weight store. It refuses loads beyond its rate limit. If there are more transfers than it serves at
/// full speed, they share its bandwidth.
class StoreModel {
public:
    StoreModel(double loadsPerSecond, std::uint32_t fullSpeedLoads);

    /// Sets the bandwidth as a multiple of the usual one, which is 1. `advance` has to be called first.
    void setSpeed(double speed) { speed_ = speed; }
    /// Returns false if the load is refused because of the rate limit.
    bool admit(framework::SteadyTime now);
    void begin(std::uint64_t load, double mebiBytes, framework::SteadyTime now);
    /// Advances all transfers to `now`. Returns one transfer that has ended by then and removes it, std::nullopt if
    /// none has.
    std::optional<std::uint64_t> advance(framework::SteadyTime now);
    /// Returns when the next transfer ends at the present bandwidth, std::nullopt if there are no transfers.
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
