#include "standins/proxy/streamfaults.h"

namespace lagoon::standins {

using framework::Milliseconds;

namespace {

constexpr std::uint64_t maxDelayMs = 600000;
constexpr std::uint64_t maxFaultCount = 1000000;

std::size_t indexOf(Direction direction) { return static_cast<std::size_t>(direction); }

} // namespace

void StreamFaults::set(framework::CheckedObject& json)
{
    const std::lock_guard lock(mutex_);
    if (json.has("delay_ms")) {
        framework::CheckedObject delays = json.object("delay_ms");
        delays_[0] = Milliseconds(delays.numberOr("to_server", 0, 0, maxDelayMs));
        delays_[1] = Milliseconds(delays.numberOr("to_client", 0, 0, maxDelayMs));
    }
    if (json.has("swap")) {
        framework::CheckedObject swaps = json.object("swap");
        swapsLeft_[0] = swaps.numberOr("to_server", 0, 0, maxFaultCount);
        swapsLeft_[1] = swaps.numberOr("to_client", 0, 0, maxFaultCount);
    }
    if (json.has("lose_answer")) {
        framework::CheckedObject loss = json.object("lose_answer");
        lossesLeft_ = loss.numberOr("count", 1, 0, maxFaultCount);
        lossAfterBytes_ = loss.numberOr("after_bytes", 0, 0, UINT32_MAX);
    }
}

Milliseconds StreamFaults::delay(Direction direction) const
{
    const std::lock_guard lock(mutex_);
    return delays_[indexOf(direction)];
}

bool StreamFaults::tryTakeSwap(Direction direction)
{
    const std::lock_guard lock(mutex_);
    std::uint64_t& left = swapsLeft_[indexOf(direction)];
    if (left == 0)
        return false;
    --left;
    ++swapped_;
    return true;
}

std::optional<std::uint64_t> StreamFaults::tryTakeAnswerLoss()
{
    const std::lock_guard lock(mutex_);
    if (lossesLeft_ == 0)
        return std::nullopt;
    --lossesLeft_;
    ++lost_;
    return lossAfterBytes_;
}

std::uint64_t StreamFaults::swapped() const
{
    const std::lock_guard lock(mutex_);
    return swapped_;
}

std::uint64_t StreamFaults::lost() const
{
    const std::lock_guard lock(mutex_);
    return lost_;
}

} // namespace lagoon::standins
