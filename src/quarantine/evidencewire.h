#pragma once

#include "framework/types/time.h"
#include "quarantine/types/evidence.h"
#include "wire/types/message.h"

/// Conversion of evidence to and from frames. Times on the wire are ages at the frame's sending.
namespace lagoon::quarantine {

wire::Message toWire(const EvidenceUpdate&, framework::SteadyTime now);
/// Leaves out entries that can't be read.
EvidenceUpdate fromWire(const wire::fb::CrashEvidenceT&, framework::SteadyTime now);

} // namespace lagoon::quarantine
