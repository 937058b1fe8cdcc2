#pragma once

#include "framework/types/time.h"
#include "quarantine/types/evidence.h"
#include "wire/types/message.h"

#include <cstdint>
#include <optional>
#include <vector>

/// Conversion of evidence to and from frames. Times on the wire are ages at the frame's sending.
namespace lagoon::quarantine {

wire::Message toWire(const EvidenceUpdate&, framework::SteadyTime now);
/// Returns std::nullopt if the bytes aren't a fingerprint's.
std::optional<RequestFingerprint> fingerprintFrom(const std::vector<std::uint8_t>&);
std::vector<std::uint8_t> bytesOf(const RequestFingerprint&);
/// Leaves out entries that can't be read.
EvidenceUpdate fromWire(const wire::fb::CrashEvidenceT&, framework::SteadyTime now);

} // namespace lagoon::quarantine
