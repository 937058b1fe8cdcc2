#include "callers/callersettings.h"

namespace lagoon::callers {

namespace {

constexpr std::uint64_t mebibyte = 1024 * 1024;
constexpr std::uint64_t maxHeldBytes = 64 * 1024 * mebibyte;
constexpr std::uint64_t maxRequests = 100000;
constexpr std::uint64_t maxJsonDepth = 200;
constexpr std::uint64_t maxTimeoutMs = 24 * 60 * 60 * 1000;

framework::Milliseconds readTime(
    framework::CheckedObject& section, const std::string& key, framework::Milliseconds ifAbsent)
{
    return framework::Milliseconds(section.numberOr(key, ifAbsent.count(), 1, maxTimeoutMs));
}

void readTimeLimits(framework::CheckedObject& section, CallerLimits& limits)
{
    limits.headerTimeout = readTime(section, "header_timeout_ms", limits.headerTimeout);
    limits.idleTimeout = readTime(section, "idle_timeout_ms", limits.idleTimeout);
    limits.bodyProgressTimeout = readTime(section, "body_progress_ms", limits.bodyProgressTimeout);
    limits.bodyProgressBytes = section.numberOr("body_progress_bytes", limits.bodyProgressBytes, 1, mebibyte);
    limits.answerProgressTimeout = readTime(section, "answer_progress_ms", limits.answerProgressTimeout);
    limits.answerProgressBytes = section.numberOr("answer_progress_bytes", limits.answerProgressBytes, 1, mebibyte);
}

} // namespace

CallerLimits readCallerLimits(framework::CheckedObject& settings)
{
    CallerLimits limits;
    if (!settings.has("limits"))
        return limits;
    framework::CheckedObject section = settings.object("limits");
    limits.headerBytes = section.numberOr("header_bytes", limits.headerBytes, 256, mebibyte);
    limits.bodyBytes = section.numberOr("body_bytes", limits.bodyBytes, 1, 256 * mebibyte);
    limits.heldBodyBytes = section.numberOr("held_body_bytes", limits.heldBodyBytes, 1, maxHeldBytes);
    limits.jsonDepth = section.numberOr("json_depth", limits.jsonDepth, 1, maxJsonDepth);
    limits.connections = section.numberOr("connections", limits.connections, 1, maxRequests);
    limits.waitingRequests = section.numberOr("waiting_requests", limits.waitingRequests, 1, maxRequests);
    limits.requestsInProgress = section.numberOr("requests_in_progress", limits.requestsInProgress, 1, maxRequests);
    limits.answerBacklogBytes
        = section.numberOr("answer_backlog_bytes", limits.answerBacklogBytes, 1024, 256 * mebibyte);
    readTimeLimits(section, limits);
    limits.maxTimeout
        = framework::Milliseconds(section.numberOr("longest_timeout_ms", limits.maxTimeout.count(), 1, maxTimeoutMs));
    // Reports unknown keys of this section; the error is kept in `settings`.
    (void)section.finish();
    return limits;
}

} // namespace lagoon::callers
