#pragma once

#include "standins/common/standinprogram.h"

#include <mutex>

namespace lagoon::standins {

struct WeightOptions {
    /// The rate limit for starting fetches, enforced by a token bucket. Fetches beyond it get 429.
    double fetchesPerSecond = 4;
    /// The time of a fetch at full speed.
    framework::Milliseconds transferTime { 50 };
    /// The number of concurrent fetches that get full speed. If there are more, they share the same bandwidth equally.
    std::uint64_t fullSpeedFetches = 4;
};

/// The weight store. Fault: `slow_factor`, by which the time of transfers is multiplied.
class WeightStandin final : public IStandin {
public:
    explicit WeightStandin(const WeightOptions&);

    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    bool tryTakeToken();
    void transfer(Exchange&);

    const WeightOptions options_;
    std::mutex mutex_;
    double tokens_;
    framework::SteadyTime refilledAt_;
    double slowFactor_ = 1;
    std::uint64_t active_ = 0;
    std::uint64_t peakActive_ = 0;
    std::uint64_t fetches_ = 0;
    std::uint64_t limited_ = 0;
};

} // namespace lagoon::standins
