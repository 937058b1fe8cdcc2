#include "policy/weightstoreshare.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy {

namespace {

constexpr framework::Milliseconds borrowAfter { 500 };
constexpr framework::Milliseconds noBorrowingFor { 10000 };

} // namespace

WeightStoreShare::WeightStoreShare(const bundle::PolicyParameters& numbers, bool mayBorrow)
    : numbers_(numbers)
    , mayBorrow_(mayBorrow)
{
}

void WeightStoreShare::setLimits(const bundle::PolicyParameters& numbers) { numbers_ = numbers; }

void WeightStoreShare::setLiveRouters(std::uint32_t count, std::uint32_t rank)
{
    routers_ = std::max<std::uint32_t>(1, count);
    rank_ = rank;
}

bool WeightStoreShare::mayStart(framework::SteadyTime waitingSince, framework::SteadyTime now) const
{
    if (running_ < places() && tokens(now) >= 1)
        return true;
    if (!mayBorrow_ || now < waitingSince + borrowAfter || !noBorrowingUntil_.hasPassed(now))
        return false;
    // What was borrowed is at most a whole second of the store's rate.
    return running_ < numbers_.weightLoadsAtFullSpeed && tokens(now) > -numbers_.weightLoadsPerSecond;
}

void WeightStoreShare::start(framework::SteadyTime now)
{
    tokens_ = tokens(now) - 1;
    countedAt_ = now;
    ++running_;
}

void WeightStoreShare::end()
{
    if (running_ > 0)
        --running_;
}

void WeightStoreShare::noteRefusal(framework::SteadyTime now)
{
    noBorrowingUntil_ = framework::Deadline::after(now, noBorrowingFor);
}

std::uint32_t WeightStoreShare::places() const
{
    const std::uint32_t all = numbers_.weightLoadsAtFullSpeed;
    const std::uint32_t leftOver = rank_ < all % routers_ ? 1 : 0;
    return std::max(1U, all / routers_ + leftOver);
}

double WeightStoreShare::loadsPerSecond() const { return numbers_.weightLoadsPerSecond / routers_; }

double WeightStoreShare::tokens(framework::SteadyTime now) const
{
    const double passed = std::max(0.0, std::chrono::duration<double>(now - countedAt_).count());
    const double most = std::max(1.0, loadsPerSecond());
    return std::min(most, tokens_ + passed * loadsPerSecond());
}

} // namespace lagoon::policy
