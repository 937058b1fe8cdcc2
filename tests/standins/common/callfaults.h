#pragma once

#include "framework/checkedjson.h"
#include "standins/common/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace lagoon::standins {

/// Where in a call a fault happens.
enum class CallStep : std::uint8_t { Before, During, After };

/// Faults of the next calls of an upstream: `{"at": "before"|"during"|"after", "do": "hang"|"close", "count": n}`.
/// A hanging call's connection is closed when the fault is set anew.
class CallFaults {
public:
    void set(framework::CheckedObject);
    /// Takes the fault that this call shall have, if any is left; null when it goes well.
    struct Fault {
        CallStep at = CallStep::Before;
        bool hangs = false;
        bool exists = false;
    };
    Fault take();
    /// Carries the fault out if it belongs to this step; true if the call is over.
    bool inject(const Fault&, CallStep, Exchange&);

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    Fault fault_;
    std::uint64_t callsLeft_ = 0;
    std::uint64_t generation_ = 0;
};

} // namespace lagoon::standins
