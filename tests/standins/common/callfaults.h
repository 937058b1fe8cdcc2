#pragma once

#include "framework/checkedjson.h"
#include "standins/common/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace lagoon::standins {

/// The point of a call at which a fault is injected.
enum class CallStep : std::uint8_t { Before, During, After };

/// Injects a fault into the next `count` calls of an upstream:
/// `{"at": "before"|"during"|"after", "do": "hang"|"close", "count": n}`. `close` closes the call's connection at once;
/// `hang` blocks the call, and closes its connection when the fault is set the next time. Thread-safe.
class CallFaults {
public:
    void set(framework::CheckedObject);
    struct Fault {
        CallStep at = CallStep::Before;
        bool hangs = false;
        bool exists = false;
    };
    /// Returns the fault for the next call and counts it as used. `exists` is false if the call is to succeed.
    Fault take();
    /// Injects the fault if it belongs to this step. Returns true if the connection has been closed by it.
    bool inject(const Fault&, CallStep, Exchange&);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    Fault fault_;
    std::uint64_t callsLeft_ = 0;
    std::uint64_t generation_ = 0;
};

} // namespace lagoon::standins
