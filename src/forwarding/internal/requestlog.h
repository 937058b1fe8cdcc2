#pragma once

#include "forwarding/internal/upstreamchoice.h"
#include "framework/decisionlog.h"
#include "framework/metrics.h"

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
    /// The longest pause of the answer, and when it began.
    framework::Milliseconds untilPause { 0 };
    framework::Milliseconds pause { 0 };
};

/// The ids of the parts that a prompt may share with others, so all but the last; only the first few.
std::string sharedPartIds(const RequestFacts&);
/// The log lines of one request; docs/OPERATIONS.md describes their fields.
framework::LogLine sentLine(const JobSpec&, const ChosenUpstream&, std::uint32_t sends, framework::SteadyTime now);
/// A caller takes up a stream.
framework::LogLine takenUpLine(const JobSpec&, const streams::OriginAnswer&, const char* outcome);
framework::LogLine endedLine(const JobSpec&, const RequestEnd&);
/// Whether a stream paused for longer than its route allows.
bool hasPausedTooLong(const JobSpec&, const RequestEnd&);
/// Counts the request in the metrics of its service.
void countEnded(framework::Metrics&, const JobSpec&, const RequestEnd&);

} // namespace lagoon::forwarding
