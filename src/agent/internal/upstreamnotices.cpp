#include "agent/internal/upstreamnotices.h"

#include "framework/decisionlog.h"
#include "http/types/message.h"

namespace lagoon::agent {

namespace {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;

constexpr const char* leavingHeader = "Server-Leaving";
constexpr const char* restHeader = "Retry-After";
/// Only with this status does `Retry-After` concern the upstream rather than the request.
constexpr unsigned short turnedAway = 503;
/// Another upstream may serve the request at once.
constexpr Milliseconds retryWhenLeaving { 1000 };

/// An agent has one upstream.
catalog::UpstreamRun runOf(UpstreamRunNumber run)
{
    return { catalog::InstanceId("upstream"), catalog::StartTime(run.value()) };
}

notices::ServerNotice readNotice(unsigned short status, const HttpHeaders& headers)
{
    notices::ServerNotice notice;
    for (const auto& [name, value] : headers) {
        if (http::equalsIgnoringCase(name, leavingHeader))
            notices::addLeaving(notice, value);
        else if (status == turnedAway && http::equalsIgnoringCase(name, restHeader))
            notices::addRest(notice, value);
    }
    return notice;
}

} // namespace

UpstreamNotices::UpstreamNotices(framework::Metrics& metrics)
    : metrics_(metrics)
{
}

bool UpstreamNotices::didAnswer(
    unsigned short status, const HttpHeaders& headers, UpstreamRunNumber run, SteadyTime now)
{
    const notices::ServerNotice notice = readNotice(status, headers);
    if (notice.isRestUnreadable)
        metrics_.count("lagoon_server_rests_unreadable_total");
    const notices::NoticeTable::News news = table_.add(runOf(run), notice, now);
    if (news.leaves) {
        metrics_.count("lagoon_servers_leaving_total");
        logDecision(LogLine("server_leaving"));
    }
    if (news.restsLonger) {
        metrics_.count("lagoon_server_rests_total");
        logDecision(LogLine("server_rest").number("rest_ms", notice.rest->count()));
    }
    return news.leaves || news.restsLonger;
}

bool UpstreamNotices::isLeaving(UpstreamRunNumber run) const { return table_.isLeaving(runOf(run)); }

std::optional<Error> UpstreamNotices::refusal(UpstreamRunNumber run, SteadyTime now) const
{
    if (isLeaving(run))
        return Error { ErrorCode::Draining, "admit", "", "the upstream leaves", Execution::NotRun, retryWhenLeaving };
    if (table_.isResting(runOf(run), now))
        return Error { ErrorCode::DeadlineHopeless, "admit", "", "the upstream rests", Execution::NotRun,
            table_.restsUntil(runOf(run)).remaining(now) };
    return std::nullopt;
}

} // namespace lagoon::agent
