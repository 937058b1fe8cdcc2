#include "ratelimits/limittable.h"

#include <algorithm>
#include <cmath>

namespace lagoon::ratelimits {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;
using Seconds = std::chrono::duration<double>;

/// One request in five seconds, over all routers.
const RequestRate probeRate(0.2);
/// After the end of a limit the rate grows from this, or from the limit if that was higher.
const RequestRate minRecoveryRate(2);
constexpr Milliseconds recoveryDoubling { 500 };
constexpr Milliseconds recoveryTime { 3000 };
/// How long the end of a limit is remembered: an earlier statement may arrive later.
constexpr Milliseconds endRetention { 60 * 1000 };
/// A limit that no answer confirms for so long belongs to a server that is gone.
constexpr Milliseconds limitRetention { 3600 * 1000 };
constexpr std::size_t maxServers = 4096;

} // namespace

LimitTable::Change LimitTable::add(const LimitStatement& statement)
{
    const auto known = limits_.find(statement.server);
    if (known == limits_.end()) {
        if (!statement.limit)
            return Change::None;
        if (limits_.size() >= maxServers)
            limits_.erase(std::min_element(limits_.begin(), limits_.end(),
                [](const auto& left, const auto& right) { return left.second.last.at < right.second.last.at; }));
        limits_[statement.server] = { statement, *statement.limit };
        return Change::Named;
    }
    Limit& limit = known->second;
    if (statement.at <= limit.last.at)
        return Change::None;
    const bool wasNamed = limit.last.limit.has_value();
    if (!statement.limit && !wasNamed)
        return Change::None;
    const bool isSameRate = statement.limit && *statement.limit == limit.rate;
    limit.last = statement;
    if (!statement.limit)
        return Change::Ended;
    limit.rate = *statement.limit;
    if (!wasNamed)
        return Change::Named;
    return isSameRate ? Change::None : Change::Changed;
}

std::optional<RequestRate> LimitTable::allowed(const ServerRunKey& server, SteadyTime now) const
{
    const auto known = limits_.find(server);
    if (known == limits_.end())
        return std::nullopt;
    const Limit& limit = known->second;
    if (limit.last.limit)
        return std::max(limit.rate, probeRate);
    const auto sinceEnd = std::max(SteadyTime::duration(0), now - limit.last.heardAt);
    if (sinceEnd >= recoveryTime)
        return std::nullopt;
    const double doublings = Seconds(sinceEnd) / Seconds(recoveryDoubling);
    return RequestRate(std::max(limit.rate, minRecoveryRate).value() * std::exp2(doublings));
}

const LimitStatement* LimitTable::find(const ServerRunKey& server) const
{
    const auto known = limits_.find(server);
    return known == limits_.end() ? nullptr : &known->second.last;
}

std::vector<LimitStatement> LimitTable::statements() const
{
    std::vector<LimitStatement> all;
    for (const auto& [server, limit] : limits_) {
        if (limit.last.limit)
            all.push_back(limit.last);
    }
    return all;
}

void LimitTable::expire(SteadyTime now)
{
    std::erase_if(limits_, [now](const auto& entry) {
        const LimitStatement& last = entry.second.last;
        return now - last.heardAt > (last.limit ? limitRetention : endRetention);
    });
}

std::size_t LimitTable::named() const
{
    return static_cast<std::size_t>(std::count_if(
        limits_.begin(), limits_.end(), [](const auto& entry) { return entry.second.last.limit.has_value(); }));
}

} // namespace lagoon::ratelimits
