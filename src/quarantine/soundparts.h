#pragma once

#include "framework/types/time.h"
#include "quarantine/types/evidence.h"

#include <map>
#include <vector>

namespace lagoon::quarantine {

/// The parts of prompts that went on well lately, and at which servers: bounded in number and age. Does no I/O and
/// reads no clock.
class SoundParts {
public:
    void didSurvive(const RequestFingerprint& part, const ServerRunId&, framework::SteadyTime now);
    /// Whether the part went on well at this run of a server, not long before this time.
    bool didSurviveAt(const RequestFingerprint& part, const ServerRunId&, framework::SteadyTime) const;
    /// Returns the servers where the part went on well not long before this time.
    std::vector<ServerRunId> servers(const RequestFingerprint& part, framework::SteadyTime) const;
    void expire(framework::SteadyTime now);

private:
    struct Survivals {
        framework::SteadyTime last {};
        std::map<ServerRunId, framework::SteadyTime> at;
    };

    std::map<RequestFingerprint, Survivals> parts_;
};

} // namespace lagoon::quarantine
