#pragma once

#include "forwarding/internal/upstreamchoice.h"
#include "framework/decisionlog.h"

#include <optional>
#include <string>

namespace lagoon::forwarding {

/// The outcome of a request.
struct RequestEnd {
    const char* outcome = "";
    unsigned status = 0;
    std::string cause;
    std::uint32_t sends = 0;
    /// The last server that the request was sent to; empty if there was none.
    std::string server;
    /// Time since the request was received.
    framework::Milliseconds total { 0 };
    std::optional<framework::Milliseconds> untilFirstByte;
};

/// The log lines of one request; docs/OPERATIONS.md describes their fields.
framework::LogLine sentLine(const JobSpec&, const ChosenUpstream&, std::uint32_t sends, framework::SteadyTime now);
framework::LogLine endedLine(const JobSpec&, const RequestEnd&);

} // namespace lagoon::forwarding
