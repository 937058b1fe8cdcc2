#pragma once

#include "framework/types/time.h"

#include <concepts>
#include <cstdint>
#include <string>
#include <string_view>

/// The structured log: one JSON object a line on standard output, for each decision on a request and each change of
/// what the process believes. See docs/OPERATIONS.md for how to read it.
namespace lagoon::framework {

/// A line in the making. Keys are written as given, in the order of the calls; values are escaped.
class LogLine {
public:
    explicit LogLine(std::string_view event);

    LogLine& text(std::string_view key, std::string_view value);
    LogLine& number(std::string_view key, double value);
    template <std::integral Number> LogLine& number(std::string_view key, Number value)
    {
        return raw(key, std::to_string(value));
    }
    LogLine& flag(std::string_view key, bool value);

    /// The whole line without its end.
    std::string json() const { return line_ + "}"; }

private:
    LogLine& raw(std::string_view key, std::string_view value);

    std::string line_;
};

/// Lines that may wait for a reader of standard output that is slow; what comes beyond is dropped and counted in a
/// line of its own, so that a full pipe never holds a request up. About 100 KiB.
inline constexpr int maxQueuedLogLines = 512;

/// Call once, first thing, in place of `startLogging`: both then write to standard output.
void startDecisionLog(std::string_view processName);
/// Queues the line with the time of day; never waits. Without `startDecisionLog` it is dropped. From any thread.
void logDecision(const LogLine&);
/// Writes the lines that still wait, and takes no more. Returns once they are written, or after `timeout` if nobody
/// reads standard output. Call once, last thing before the process ends.
void finishDecisionLog(Milliseconds timeout);

} // namespace lagoon::framework
