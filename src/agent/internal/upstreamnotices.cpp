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
/// Another upstream may serve the request at once.
constexpr Milliseconds retryWhenLeaving { 1000 };

/// An agent has one upstream.
catalog::UpstreamRun runOf(UpstreamRunNumber run)
{
    return { catalog::InstanceId("upstream"), catalog::StartTime(run.value()) };
}

notices::ServerNotice readNotice(const HttpHeaders& headers)
{
    notices::ServerNotice notice;
    for (const auto& [name, value] : headers) {
        if (http::equalsIgnoringCase(name, leavingHeader))
            notices::addLeaving(notice, value);
    }
    return notice;
}

} // namespace

UpstreamNotices::UpstreamNotices(framework::Metrics& metrics)
    : metrics_(metrics)
{
}

bool UpstreamNotices::didAnswer(unsigned short, const HttpHeaders& headers, UpstreamRunNumber run, SteadyTime now)
{
    const notices::NoticeTable::News news = table_.add(runOf(run), readNotice(headers), now);
    if (news.leaves) {
        metrics_.count("lagoon_servers_leaving_total");
        logDecision(LogLine("server_leaving"));
    }
    return news.leaves;
}

bool UpstreamNotices::isLeaving(UpstreamRunNumber run) const { return table_.isLeaving(runOf(run)); }

std::optional<Error> UpstreamNotices::refusal(UpstreamRunNumber run, SteadyTime) const
{
    if (isLeaving(run))
        return Error { ErrorCode::Draining, "admit", "", "the upstream leaves", Execution::NotRun, retryWhenLeaving };
    return std::nullopt;
}

} // namespace lagoon::agent
