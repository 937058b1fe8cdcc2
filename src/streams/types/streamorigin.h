#pragma once

#include "catalog/types/softwareversion.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <array>
#include <compare>
#include <cstdint>
#include <optional>
#include <string_view>

/// Which software began a stream: see docs/DESIGN.md.
namespace lagoon::streams {

/// Identifies one attempt of a caller, equally on all routers.
class AttemptKey {
public:
    static constexpr std::size_t size = 16;
    using Bytes = std::array<std::uint8_t, size>;

    AttemptKey() = default;
    explicit AttemptKey(const Bytes& bytes)
        : bytes_(bytes)
    {
    }
    /// Includes the caller, so that no caller can name the attempt of another.
    static AttemptKey of(std::string_view caller, std::string_view attempt);

    const Bytes& bytes() const { return bytes_; }

    friend auto operator<=>(const AttemptKey&, const AttemptKey&) = default;

private:
    Bytes bytes_ {};
};

/// The software that writes a stream's events. Versions of different services have nothing to do with each other.
struct StreamOrigin {
    framework::ServiceName service;
    catalog::SoftwareVersion version;

    friend bool operator==(const StreamOrigin&, const StreamOrigin&) = default;
};

/// No record is kept for longer, whatever a caller or a peer asks for.
inline constexpr framework::Milliseconds maxRecordAge { 600 * 1000 };

/// States to which software an attempt was last sent. Replaces what earlier records of the attempt stated.
struct DispatchRecord {
    AttemptKey attempt;
    /// Counts the records of the attempt, from 1.
    std::uint32_t dispatch = 0;
    /// std::nullopt if it isn't known, or if earlier records are retracted.
    std::optional<StreamOrigin> origin;
    framework::SteadyTime at {};
    /// The caller can't take the stream up after this time.
    framework::Deadline keptUntil;
};

} // namespace lagoon::streams
