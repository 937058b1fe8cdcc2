#pragma once

#include "framework/checkedjson.h"
#include "framework/types/time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

namespace lagoon::standins {

enum class Direction : std::uint8_t { ToServer, ToClient };

/// Faults that strike whichever connection carries the next bytes. Thread-safe.
class StreamFaults {
public:
    /// Reads `delay_ms`, `swap` and `lose_answer` of the faults' JSON.
    void set(framework::CheckedObject&);

    framework::Milliseconds delay(Direction) const;
    /// True for so many pieces as shall change places with their next.
    bool tryTakeSwap(Direction);
    /// How many bytes of the answer still pass before it is lost; nothing if this one isn't.
    std::optional<std::uint64_t> tryTakeAnswerLoss();
    std::uint64_t swapped() const;
    std::uint64_t lost() const;

private:
    mutable std::mutex mutex_;
    std::array<framework::Milliseconds, 2> delays_ {};
    std::array<std::uint64_t, 2> swapsLeft_ {};
    std::uint64_t lossesLeft_ = 0;
    std::uint64_t lossAfterBytes_ = 0;
    std::uint64_t swapped_ = 0;
    std::uint64_t lost_ = 0;
};

} // namespace lagoon::standins
