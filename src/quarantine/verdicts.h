#pragma once

#include "framework/types/time.h"
#include "quarantine/crashevidence.h"
#include "quarantine/quarantinesettings.h"

#include <cstdint>
#include <map>
#include <vector>

namespace lagoon::quarantine {

/// What the evidence says of one request.
struct Standing {
    /// Crashes in succession: those of copies that ran at the same time count once, since servers that end together
    /// say little about what they ran.
    std::uint32_t crashes = 0;
    /// The same, with crashes that aren't confirmed yet.
    std::uint32_t possibleCrashes = 0;
    /// The servers that ended while they ran the request.
    std::vector<ServerRunId> servers;
    framework::SteadyTime firstCrash {};
    framework::SteadyTime lastCrash {};
    bool isQuarantined = false;
    /// Other suspects that were at the very same crashes. Only requests that have all of them are quarantined; whether
    /// one of them alone is to blame, requests with some of them show.
    std::vector<RequestFingerprint> inseparable;
    /// The end of the quarantine.
    framework::Deadline until;
};

using Standings = std::map<RequestFingerprint, Standing>;

/// Decides which requests the crashes are to be blamed on.
///
/// A server that crashes holds many requests, and at most one of them is the cause. A request that was there by chance
/// runs well elsewhere, which clears it, or is missing at later crashes. Therefore the requests with the most crashes
/// are judged first, and crashes that one of them explains count no more for the others. Suspects that were part of the
/// same crashes can't be told apart, so that only requests that have all of them are quarantined until a further crash,
/// or a run that ends well, shows which it was.
///
/// In a crash storm a long request may be there by chance several times in succession. A request is quarantined only if
/// that is unlikely at the rate at which servers had crashed without it. `servers` is how many there are.
Standings judge(const CrashEvidence&, const QuarantineSettings&, std::size_t servers);

} // namespace lagoon::quarantine
