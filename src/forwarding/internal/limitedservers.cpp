#include "forwarding/internal/limitedservers.h"

#include "framework/decisionlog.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;
using ratelimits::LimitStatement;
using ratelimits::LimitTable;
using ratelimits::PermitNumber;
using ratelimits::ServerRunKey;

/// The shortest time between two questions for the same server that are not granted.
constexpr Milliseconds minDenial { 10 };

ServerRunKey keyOf(const UpstreamRecord& server) { return ratelimits::serverRunKey(server.facts.run()); }

} // namespace

LimitedServers::LimitedServers(framework::Metrics& metrics, ratelimits::IServerPermits& permits)
    : metrics_(metrics)
    , permits_(permits)
{
}

void LimitedServers::didAnswer(const UpstreamRecord& server, const ratelimits::LimitHeader& header,
    AnswerClass answerClass, SteadyTime sentAt, SteadyTime now)
{
    if (!isOwnAnswer(answerClass) || (!header.isPresent && limits_.isEmpty()))
        return;
    const ServerRunKey key = keyOf(server);
    // A value that can't be read ends no limit: the server still says that it has one.
    if (header.isPresent && !header.rate) {
        metrics_.count("lagoon_server_limits_unreadable_total");
        return logDecision(LogLine("server_limit_unreadable").text("server", key.value()));
    }
    if (header.rate)
        endpoints_[key] = server.facts.endpoint;
    if (add({ key, header.rate, header.rate ? now : sentAt, now }, "answer"))
        share(key);
}

void LimitedServers::didHear(const std::vector<LimitStatement>& statements, SteadyTime now)
{
    expire(now);
    for (const LimitStatement& statement : statements) {
        if (add(statement, "others"))
            continue;
        const LimitStatement* const known = limits_.find(statement.server);
        // The others have missed what this router heard later.
        if (known && known->at > statement.at && known->limit != statement.limit)
            share(statement.server);
    }
}

bool LimitedServers::add(const LimitStatement& statement, const char* source)
{
    const LimitTable::Change change = limits_.add(statement);
    if (change == LimitTable::Change::None)
        return false;
    LogLine line(statement.limit ? "server_limit" : "server_limit_ended");
    line.text("server", statement.server.value()).text("source", source);
    if (statement.limit)
        line.number("per_second", statement.limit->value());
    line.number("stated_ms_ago", std::chrono::duration_cast<Milliseconds>(statement.heardAt - statement.at).count());
    logDecision(line);
    metrics_.setGauge("lagoon_limited_servers", static_cast<double>(limits_.named()));
    denials_.erase(statement.server);
    return true;
}

void LimitedServers::share(const ServerRunKey& server)
{
    const LimitStatement* const known = limits_.find(server);
    const auto endpoint = endpoints_.find(server);
    if (known && endpoint != endpoints_.end())
        permits_.share(*known, endpoint->second);
}

void LimitedServers::expire(SteadyTime now)
{
    limits_.expire(now);
    std::erase_if(endpoints_, [this](const auto& entry) { return !limits_.find(entry.first); });
    std::erase_if(denials_, [this](const auto& entry) { return !limits_.find(entry.first); });
}

std::optional<ratelimits::RequestRate> LimitedServers::rate(const UpstreamRecord& server, SteadyTime now) const
{
    return limits_.isEmpty() ? std::nullopt : limits_.allowed(keyOf(server), now);
}

std::map<framework::Endpoint, ratelimits::RequestRate> LimitedServers::rates(SteadyTime now) const
{
    std::map<framework::Endpoint, ratelimits::RequestRate> rates;
    for (const auto& [server, endpoint] : endpoints_) {
        if (const auto rate = limits_.allowed(server, now))
            rates[endpoint] = *rate;
    }
    return rates;
}

Deadline LimitedServers::deniedUntil(const UpstreamRecord& server, std::uint32_t priority) const
{
    const auto denials = denials_.find(keyOf(server));
    Deadline until;
    if (denials == denials_.end())
        return until;
    for (const auto& [denied, at] : denials->second) {
        if (denied <= priority)
            until = std::max(until, at);
    }
    return until;
}

bool LimitedServers::mayTake(const UpstreamRecord& server, std::uint32_t priority, SteadyTime now) const
{
    return !isLimited(server, now) || deniedUntil(server, priority).hasPassed(now);
}

void LimitedServers::didDeny(
    const ServerRunKey& server, std::uint32_t priority, Milliseconds retryAfter, SteadyTime now)
{
    denials_[server][priority] = Deadline::after(now, std::max(minDenial, retryAfter));
}

void LimitedServers::ask(const PermitNumber& number, const UpstreamRecord& server, std::uint32_t priority,
    Deadline neededBy, std::uint32_t routers, SteadyTime now, PermitHandler handler)
{
    const ServerRunKey key = keyOf(server);
    const LimitStatement* const known = limits_.find(key);
    const LimitStatement statement = known ? *known : LimitStatement { key, std::nullopt, now, now };
    endpoints_[key] = server.facts.endpoint;
    const auto allowed = rate(server, now).value_or(ratelimits::RequestRate());
    permits_.ask(
        { number, statement, allowed, server.facts.endpoint, priority, neededBy, routers }, std::move(handler));
}

} // namespace lagoon::forwarding
