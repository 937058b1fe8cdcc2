#include "policy/weightstoreshare.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

constexpr framework::Milliseconds waitBeforeBorrowing { 500 };
constexpr framework::Milliseconds borrowingPause { 10000 };

} // namespace

WeightStoreShare::WeightStoreShare(const bundle::PolicyParameters& parameters, bool mayBorrow)
    : parameters_(parameters)
    , mayBorrow_(mayBorrow)
{
}

void WeightStoreShare::setLimits(const bundle::PolicyParameters& parameters) { parameters_ = parameters; }

void WeightStoreShare::setLiveRouters(std::uint32_t count, std::uint32_t rank)
{
    routers_ = std::max<std::uint32_t>(1, count);
    rank_ = rank;
}

bool WeightStoreShare::mayStart(framework::SteadyTime waitingSince, framework::SteadyTime now) const
{
    if (running_ < slots() && tokens(now) >= 1)
        return true;
    if (!mayBorrow_ || now < waitingSince + waitBeforeBorrowing || !borrowingPausedUntil_.hasPassed(now))
        return false;
    // Borrowing is limited to the number of loads that the store admits in one second.
    return running_ < parameters_.weightLoadsAtFullSpeed && tokens(now) > -parameters_.weightLoadsPerSecond;
}

void WeightStoreShare::start(framework::SteadyTime now)
{
    tokens_ = tokens(now) - 1;
    tokensUpdatedAt_ = now;
    ++running_;
}

void WeightStoreShare::end()
{
    if (running_ > 0)
        --running_;
}

void WeightStoreShare::recordRefusal(framework::SteadyTime now)
{
    borrowingPausedUntil_ = framework::Deadline::after(now, borrowingPause);
}

std::uint32_t WeightStoreShare::slots() const
{
    const std::uint32_t total = parameters_.weightLoadsAtFullSpeed;
    const std::uint32_t remainder = rank_ < total % routers_ ? 1 : 0;
    return std::max(1U, total / routers_ + remainder);
}

double WeightStoreShare::loadsPerSecond() const { return parameters_.weightLoadsPerSecond / routers_; }

double WeightStoreShare::tokens(framework::SteadyTime now) const
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - tokensUpdatedAt_).count());
    const double maxTokens = std::max(1.0, loadsPerSecond());
    return std::min(maxTokens, tokens_ + elapsed * loadsPerSecond());
}

} // namespace lagoon::policy
