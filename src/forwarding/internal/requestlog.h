#pragma once

#include "forwarding/internal/upstreamchoice.h"
#include "framework/decisionlog.h"

#include <optional>
#include <string>

namespace lagoon::forwarding {

/// How a request ended.
struct RequestEnd {
    const char* outcome = "";
    unsigned status = 0;
    std::string cause;
    std::uint32_t sends = 0;
    /// The last that it was sent to; empty if it was to none.
    std::string server;
    /// Since its receipt.
    framework::Milliseconds total { 0 };
    std::optional<framework::Milliseconds> untilFirstByte;
};

/// The log's lines of one request; docs/OPERATIONS.md says how to read them.
framework::LogLine sentLine(const JobSpec&, const ChosenUpstream&, std::uint32_t sends, framework::SteadyTime now);
framework::LogLine endedLine(const JobSpec&, const RequestEnd&);

} // namespace lagoon::forwarding
