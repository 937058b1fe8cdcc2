#pragma once

#include "framework/types/time.h"
#include "quarantine/crashevidence.h"

#include <cstdint>
#include <vector>

namespace lagoon::quarantine {

/// Passes evidence from one process to others: keeps it, so that those that come later get it too, drops what it has
/// passed on before, and limits the rate. Does no I/O and reads no clock.
class EvidenceRelay {
public:
    enum class PassOn : std::uint8_t { No, Yes };

    /// Adds evidence and returns what of it was new, which is passed on unless the others have it already.
    EvidenceUpdate add(const EvidenceUpdate&, framework::SteadyTime now, PassOn = PassOn::Yes);
    /// Returns the next part of the new evidence, which may be empty. The next one is due after `updateInterval`.
    EvidenceUpdate takeUpdate(framework::SteadyTime now);
    bool hasUpdate() const { return !waiting_.isEmpty(); }
    /// When the next part may be taken.
    framework::Deadline nextUpdate() const { return nextUpdate_; }
    /// Returns everything for a process that has nothing yet, in parts of limited size.
    std::vector<EvidenceUpdate> everything(framework::SteadyTime now);

private:
    CrashEvidence evidence_;
    EvidenceUpdate waiting_;
    framework::Deadline nextUpdate_;
};

} // namespace lagoon::quarantine
