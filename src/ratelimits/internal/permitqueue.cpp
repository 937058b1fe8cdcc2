#include "ratelimits/permitqueue.h"

#include <algorithm>
#include <tuple>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

/// More requests than this never wait; the least urgent are denied.
constexpr std::size_t maxWaiting = 1024;
/// By then a granted permit has been used or has lapsed.
constexpr Milliseconds returnTime { 2000 };
/// A request that is to be granted a permit at once or not at all may be decided on this late.
constexpr Milliseconds maxLateness { 50 };

} // namespace

bool PermitQueue::MoreUrgent::operator()(const PermitRequest& left, const PermitRequest& right) const
{
    return std::tie(left.priority, left.askedAt, left.id) < std::tie(right.priority, right.askedAt, right.id);
}

void PermitQueue::refill(RequestRate rate, SteadyTime now)
{
    bucket_.refill(rate, now);
    std::erase_if(granted_, [now](const Granted& granted) { return granted.keptUntil.hasPassed(now); });
}

std::vector<PermitDecision> PermitQueue::ask(const PermitRequest& request, RequestRate rate, SteadyTime now)
{
    waiting_.insert(request);
    return decide(rate, now);
}

std::vector<PermitDecision> PermitQueue::decide(RequestRate rate, SteadyTime now)
{
    refill(rate, now);
    std::vector<PermitDecision> decisions;
    grantDue(decisions, now);
    denyHopeless(decisions, rate, now);
    return decisions;
}

void PermitQueue::grantDue(std::vector<PermitDecision>& decisions, SteadyTime now)
{
    while (!waiting_.empty()) {
        const PermitRequest request = *waiting_.begin();
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - request.askedAt);
        const bool isTooLate = now - request.neededBy.at() > maxLateness;
        if (!isTooLate && !bucket_.take())
            return;
        waiting_.erase(waiting_.begin());
        if (isTooLate) {
            decisions.push_back({ request.id, false, waited, Milliseconds(0) });
            continue;
        }
        granted_.push_back({ request.id, Deadline::after(now, returnTime) });
        decisions.push_back({ request.id, true, waited, Milliseconds(0) });
    }
}

void PermitQueue::denyHopeless(std::vector<PermitDecision>& decisions, RequestRate rate, SteadyTime now)
{
    std::size_t ahead = 0;
    for (auto request = waiting_.begin(); request != waiting_.end();) {
        const Milliseconds time = bucket_.timeUntil(ahead + 1, rate);
        if (ahead < maxWaiting && now + time <= request->neededBy.at()) {
            ++ahead;
            ++request;
            continue;
        }
        const auto waited = std::chrono::duration_cast<Milliseconds>(now - request->askedAt);
        decisions.push_back({ request->id, false, waited, time });
        request = waiting_.erase(request);
    }
}

void PermitQueue::withdraw(const PermitId& id, RequestRate rate, SteadyTime now)
{
    if (std::erase_if(waiting_, [&](const PermitRequest& request) { return request.id == id; }) > 0)
        return;
    refill(rate, now);
    if (std::erase_if(granted_, [&](const Granted& granted) { return granted.id == id; }) > 0)
        bucket_.giveBack(rate);
}

void PermitQueue::forgetClient(PermitClient client)
{
    std::erase_if(waiting_, [&](const PermitRequest& request) { return request.id.client == client; });
}

std::optional<Deadline> PermitQueue::nextDecision(RequestRate rate) const
{
    if (waiting_.empty() || !bucket_.refilledAt())
        return std::nullopt;
    return Deadline::after(*bucket_.refilledAt(), std::max(Milliseconds(1), bucket_.timeUntil(1, rate)));
}

} // namespace lagoon::ratelimits
