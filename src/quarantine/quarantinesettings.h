#pragma once

#include "framework/types/time.h"

#include <cstdint>

namespace lagoon::framework {
class CheckedObject;
}

namespace lagoon::quarantine {

struct QuarantineSettings {
    /// A request is quarantined after this many crashes in succession.
    std::uint32_t crashes = 3;
    /// How long the first quarantine lasts after the last crash. Each crash after a quarantine doubles it.
    framework::Milliseconds duration { 600 * 1000 };
};

/// The longest quarantine, and how long crashes are remembered.
inline constexpr framework::Milliseconds maxQuarantine { 3600 * 1000 };

/// Reads the optional object `quarantine` of a router's settings.
QuarantineSettings readQuarantineSettings(framework::CheckedObject& settings);

} // namespace lagoon::quarantine
