#include "forwarding/internal/limitedservers.h"

#include "framework/decisionlog.h"

#include <string>

namespace lagoon::forwarding {

namespace {

using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;
using ratelimits::LimitStatement;
using ratelimits::LimitTable;

/// Whether the answer came from the server that was meant and answers the request that was sent.
bool isOwnAnswer(AnswerClass answerClass)
{
    return answerClass == AnswerClass::Served || answerClass == AnswerClass::Failed
        || answerClass == AnswerClass::NotRun || answerClass == AnswerClass::NotLoaded;
}

} // namespace

ratelimits::ServerRunKey limitKey(const UpstreamRecord& record)
{
    return ratelimits::ServerRunKey(serverRunId(record.facts.run()).value());
}

LimitedServers::LimitedServers(framework::Metrics& metrics)
    : metrics_(metrics)
{
}

void LimitedServers::didAnswer(const UpstreamRecord& server, const ratelimits::LimitHeader& header,
    AnswerClass answerClass, SteadyTime sentAt, SteadyTime now)
{
    if (!isOwnAnswer(answerClass))
        return;
    const ratelimits::ServerRunKey key = limitKey(server);
    if (header.rate)
        return add({ key, header.rate, now, now }, "answer");
    // A value that can't be read ends no limit: the server still says that it has one.
    if (!header.isPresent)
        return add({ key, std::nullopt, sentAt, now }, "answer");
    metrics_.count("lagoon_server_limits_unreadable_total");
    logDecision(LogLine("server_limit_unreadable").text("server", key.value()));
}

void LimitedServers::add(const LimitStatement& statement, const char* source)
{
    if (limits_.add(statement) == LimitTable::Change::None)
        return;
    LogLine line(statement.limit ? "server_limit" : "server_limit_ended");
    line.text("server", statement.server.value()).text("source", source);
    if (statement.limit)
        line.number("per_second", statement.limit->value());
    line.number("stated_ms_ago", std::chrono::duration_cast<Milliseconds>(statement.heardAt - statement.at).count());
    logDecision(line);
    metrics_.setGauge("lagoon_limited_servers", static_cast<double>(limits_.named()));
}

} // namespace lagoon::forwarding
