#pragma once

#include "framework/types/time.h"
#include "quarantine/types/evidence.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

namespace lagoon::quarantine {

/// The facts about crashes that verdicts are based on, bounded in number and age. Processes exchange them as updates;
/// all that have received the same updates, in any order, know the same. Does no I/O and reads no clock.
class CrashEvidence {
public:
    /// Adds what another process knows, and returns what of it was new here.
    EvidenceUpdate merge(const EvidenceUpdate&, framework::SteadyTime now);
    /// The run of the server has ended, so its cut requests count. If `isCertain`, cuts that are reported later count
    /// too. Returns the crash if it was unconfirmed until now.
    const ServerCrash* confirm(const ServerRunId&, bool isCertain, framework::SteadyTime now);
    /// The server answered a request that was sent at this time, so cuts before that weren't crashes. Returns whether
    /// there were any.
    bool refute(const ServerRunId&, framework::SteadyTime sentAt);
    void expire(framework::SteadyTime now);

    const std::map<ServerRunId, ServerCrash>& crashes() const { return crashes_; }
    const std::map<std::uint64_t, Trial>& trials() const { return trials_; }
    /// When each server crashed, also those whose suspects have all been cleared.
    const std::map<ServerRunId, framework::SteadyTime>& crashTimes() const { return crashTimes_; }
    bool isSuspect(const RequestFingerprint&) const;
    /// Whether a run of the part at this server has cleared it before.
    bool wasClearedAt(const RequestFingerprint& part, const ServerRunId&) const;
    /// The number of runs that are remembered to have ended.
    std::size_t endedRuns() const { return endedRuns_.size(); }
    bool isEmpty() const { return crashes_.empty() && trials_.empty(); }
    /// Returns the newest evidence, for a process that has none: at most so many suspects, and the
    /// clearances since then.
    EvidenceUpdate newest(std::size_t maxSuspects) const;

private:
    bool isKnown(const Clearance&) const;
    bool isCleared(const RequestFingerprint&, framework::SteadyTime crashedAt) const;
    bool mergeClearance(const Clearance&);
    bool mergeTrial(const Trial&);
    ServerCrash mergeCrash(const ServerCrash&);
    void noteConfirmed(const ServerCrash&);
    void limitSuspects(ServerCrash&);
    void limitCrashes();

    std::map<ServerRunId, ServerCrash> crashes_;
    std::map<std::uint64_t, Trial> trials_;
    std::map<ServerRunId, framework::SteadyTime> crashTimes_;
    /// Runs that are known to have ended, until when that is remembered.
    std::map<ServerRunId, framework::Deadline> endedRuns_;
    std::map<RequestFingerprint, std::vector<Clearance>> clearances_;
};

} // namespace lagoon::quarantine
