#pragma once

#include "framework/checkedjson.h"
#include "framework/types/time.h"

#include <array>
#include <cstdint>
#include <mutex>
#include <optional>

namespace lagoon::standins {

enum class Direction : std::uint8_t { ToServer, ToClient };

/// Faults that aren't bound to existing connections: they apply to whichever connection carries the next bytes.
/// Thread-safe.
class StreamFaults {
public:
    /// Sets the faults `delay_ms`, `swap` and `lose_answer` from the JSON, as far as it has them.
    void set(framework::CheckedObject&);

    framework::Milliseconds delay(Direction) const;
    /// Returns whether the next chunk is to be swapped with the following one, and counts the swap as used.
    bool tryTakeSwap(Direction);
    /// Returns the number of bytes to deliver before the connection is closed, and counts the fault as used. Returns
    /// nothing if the answer isn't to be lost.
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
