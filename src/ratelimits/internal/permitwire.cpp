#include "ratelimits/permitwire.h"

#include <algorithm>
#include <cmath>
#include <memory>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

constexpr std::uint32_t maxPriority = 255;
/// No request waits for longer.
constexpr Milliseconds maxWait { 600 * 1000 };

std::uint32_t wireTime(SteadyTime::duration time)
{
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(std::chrono::duration_cast<Milliseconds>(time).count(), 0, UINT32_MAX));
}

bool isReadable(const wire::fb::ServerLimitT& limit)
{
    return !limit.server.empty() && std::isfinite(limit.per_second) && limit.per_second >= 0;
}

} // namespace

wire::Message toWire(const PermitUpdate& update, SteadyTime now)
{
    wire::fb::ServerPermitsT body;
    for (const LimitStatement& statement : update.limits) {
        auto limit = std::make_unique<wire::fb::ServerLimitT>();
        limit->server = statement.server.value();
        limit->is_limited = statement.limit.has_value();
        limit->per_second = statement.limit ? statement.limit->value() : 0;
        limit->stated_ms_ago = wireTime(now - statement.at);
        limit->heard_ms_ago = wireTime(now - statement.heardAt);
        body.limits.push_back(std::move(limit));
    }
    for (const PermitQuery& query : update.asked) {
        auto asked = std::make_unique<wire::fb::PermitQueryT>();
        asked->id = query.number.value();
        asked->server = query.server.value();
        asked->priority = static_cast<std::uint8_t>(std::min(maxPriority, query.priority));
        asked->within_ms = wireTime(query.neededBy.remaining(now));
        body.asked.push_back(std::move(asked));
    }
    for (const PermitNumber& number : update.withdrawn)
        body.withdrawn.push_back(number.value());
    for (const PermitDecision& decision : update.answered) {
        auto answered = std::make_unique<wire::fb::PermitAnswerT>();
        answered->id = decision.id.number.value();
        answered->is_granted = decision.isGranted;
        answered->waited_ms = wireTime(decision.waited);
        answered->retry_after_ms = wireTime(decision.retryAfter);
        body.answered.push_back(std::move(answered));
    }
    return wire::message(std::move(body));
}

PermitUpdate fromWire(const wire::fb::ServerPermitsT& body, SteadyTime now)
{
    PermitUpdate update;
    for (const auto& limit : body.limits) {
        if (!isReadable(*limit))
            continue;
        update.limits.push_back({ ServerRunKey(limit->server),
            limit->is_limited ? std::optional(RequestRate(limit->per_second)) : std::nullopt,
            now - Milliseconds(limit->stated_ms_ago), now - Milliseconds(limit->heard_ms_ago) });
    }
    for (const auto& asked : body.asked) {
        if (asked->server.empty())
            continue;
        update.asked.push_back({ PermitNumber(asked->id), ServerRunKey(asked->server), asked->priority,
            Deadline::after(now, std::min(maxWait, Milliseconds(asked->within_ms))) });
    }
    for (const std::uint64_t number : body.withdrawn)
        update.withdrawn.emplace_back(number);
    for (const auto& answered : body.answered) {
        update.answered.push_back({ { {}, PermitNumber(answered->id) }, answered->is_granted,
            Milliseconds(answered->waited_ms), Milliseconds(answered->retry_after_ms) });
    }
    return update;
}

} // namespace lagoon::ratelimits
