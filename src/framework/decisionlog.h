#pragma once

#include "framework/types/time.h"

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

/// The structured log: it has one line with a JSON object on standard output for each decision on a request and each
/// change of the process's view of its environment. See docs/OPERATIONS.md for how to read it.
namespace lagoon::framework {

/// Builds one line. Keys are written unescaped, in the order of the calls; values are escaped. Long texts, which may be
/// a client's, are cut off and end in "...".
class LogLine {
public:
    static constexpr std::size_t maxTextBytes = 1024;

    explicit LogLine(std::string_view event);

    LogLine& text(std::string_view key, std::string_view value);
    LogLine& number(std::string_view key, double value);
    template <std::integral Number> LogLine& number(std::string_view key, Number value)
    {
        return raw(key, std::to_string(value));
    }
    LogLine& flag(std::string_view key, bool value);

    /// The line's JSON object, without a line end.
    std::string json() const { return line_ + "}"; }

private:
    LogLine& raw(std::string_view key, std::string_view value);

    std::string line_;
};

/// Number of lines that are queued while the reader of standard output is slow, about 100 KiB. Further lines are
/// dropped and counted in a line of their own, so that a full pipe never delays a request.
inline constexpr int maxQueuedLogLines = 512;

/// Call once at the start of the process, instead of `startLogging`. Decisions and log lines are then both written to
/// standard output.
void startDecisionLog(std::string_view processName);
/// Queues the line with the time of day and never blocks. Before `startDecisionLog` lines are dropped. Can be called
/// from any thread.
void logDecision(const LogLine&);
/// Writes the queued lines and drops all later ones. Returns once the lines are written, or after `timeout` if nobody
/// reads standard output. Call once, immediately before the process exits.
void finishDecisionLog(Milliseconds timeout);

} // namespace lagoon::framework
