#include "policy/benchmarks/storemodel.h"

#include <algorithm>
#include <chrono>

namespace lagoon::policy::benchmarks {

namespace {

using Seconds = std::chrono::duration<double>;

/// Bandwidth of each transfer at full speed.
constexpr double fullSpeedMebiBytesPerSecond = 1000;
/// A transfer with no more than this left counts as ended, since the remaining amounts have rounding errors.
constexpr double minRemainingMebiBytes = 0.01;

} // namespace

StoreModel::StoreModel(double loadsPerSecond, std::uint32_t fullSpeedLoads)
    : loadsPerSecond_(loadsPerSecond)
    , fullSpeedLoads_(fullSpeedLoads)
    , tokens_(fullSpeedLoads)
{
}

bool StoreModel::admit(framework::SteadyTime now)
{
    tokens_ = std::min<double>(fullSpeedLoads_, tokens_ + Seconds(now - tokensUpdatedAt_).count() * loadsPerSecond_);
    tokensUpdatedAt_ = now;
    if (tokens_ < 1) {
        ++refusals_;
        return false;
    }
    tokens_ -= 1;
    return true;
}

void StoreModel::begin(std::uint64_t load, double mebiBytes, framework::SteadyTime now)
{
    now_ = now;
    remaining_[load] = mebiBytes;
}

std::optional<std::uint64_t> StoreModel::advance(framework::SteadyTime now)
{
    const double moved = Seconds(now - now_).count() * bandwidthPerTransfer();
    now_ = now;
    for (auto& [load, left] : remaining_)
        left -= moved;
    for (const auto& [load, left] : remaining_) {
        if (left > minRemainingMebiBytes)
            continue;
        const std::uint64_t ended = load;
        remaining_.erase(ended);
        return ended;
    }
    return std::nullopt;
}

std::optional<framework::SteadyTime> StoreModel::nextEnd() const
{
    if (remaining_.empty())
        return std::nullopt;
    const auto least = std::min_element(remaining_.begin(), remaining_.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    const Seconds wait(std::max(0.0, least->second) / bandwidthPerTransfer());
    return now_ + std::chrono::duration_cast<framework::SteadyTime::duration>(wait) + std::chrono::microseconds(1);
}

double StoreModel::bandwidthPerTransfer() const
{
    const double sharers = std::max<double>(fullSpeedLoads_, static_cast<double>(remaining_.size()));
    return speed_ * fullSpeedMebiBytesPerSecond * fullSpeedLoads_ / sharers;
}

} // namespace lagoon::policy::benchmarks
