#pragma once

#include "standins/common/standinprogram.h"

#include <mutex>

namespace lagoon::standins {

struct WeightOptions {
    /// Fetches started in a second; one more gets 429.
    double fetchesPerSecond = 4;
    /// A fetch alone takes this long.
    framework::Milliseconds transferTime { 50 };
    /// So many get full speed; more of them share it.
    std::uint64_t fullSpeedFetches = 4;
};

/// The weight store. Fault: `slow_factor`, which transfers take longer by.
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
