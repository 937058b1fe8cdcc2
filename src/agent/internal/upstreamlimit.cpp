#include "agent/internal/upstreamlimit.h"

#include "framework/decisionlog.h"
#include "http/types/message.h"

namespace lagoon::agent {

namespace {

using framework::SteadyTime;
using ratelimits::LimitTable;

constexpr const char* limitHeader = "Server-Limit";
/// An agent has one upstream.
const ratelimits::ServerRunKey upstream("upstream");

ratelimits::LimitHeader readLimit(const HttpHeaders& headers)
{
    ratelimits::LimitHeader limit;
    for (const auto& [name, value] : headers) {
        if (http::equalsIgnoringCase(name, limitHeader))
            ratelimits::addField(limit, value);
    }
    return limit;
}

} // namespace

UpstreamLimit::UpstreamLimit(framework::Metrics& metrics)
    : metrics_(metrics)
{
}

void UpstreamLimit::didAnswer(const HttpHeaders& headers, SteadyTime sentAt, SteadyTime now)
{
    const ratelimits::LimitHeader header = readLimit(headers);
    // A value that can't be read neither names a limit nor ends one.
    if (header.isPresent && !header.rate) {
        metrics_.count("lagoon_server_limits_unreadable_total");
        return;
    }
    if (limits_.add({ upstream, header.rate, header.rate ? now : sentAt, now }) == LimitTable::Change::None)
        return;
    framework::LogLine line(header.rate ? "server_limit" : "server_limit_ended");
    if (header.rate)
        line.number("per_second", header.rate->value());
    logDecision(line);
    metrics_.setGauge("lagoon_limited_servers", static_cast<double>(limits_.named()));
}

std::optional<ratelimits::RequestRate> UpstreamLimit::refill(SteadyTime now)
{
    const auto rate = limits_.allowed(upstream, now);
    if (rate)
        bucket_.refill(*rate, now);
    return rate;
}

bool UpstreamLimit::take(SteadyTime now) { return !refill(now) || bucket_.take(); }

std::optional<SteadyTime> UpstreamLimit::turn(std::size_t ahead, SteadyTime now)
{
    const auto rate = refill(now);
    return rate ? std::optional(now + bucket_.timeUntil(ahead + 1, *rate)) : std::nullopt;
}

} // namespace lagoon::agent
