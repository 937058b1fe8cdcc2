#include "ratelimits/permitexchange.h"

#include "framework/randomid.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

/// All routers that can't ask the keeper send at most this part of the limit together, beside what the keeper grants to
/// the others.
constexpr double ownShareOfLimit = 0.25;
/// Requests that could still be sent elsewhere wait no longer for an answer.
constexpr Milliseconds answerTimeout { 400 };
constexpr Milliseconds retryAfterTimeout { 500 };
/// A grant that was on its way for longer has lapsed: others would arrive at the server together with it.
constexpr Milliseconds maxTransit { 500 };
/// A lost link is open again within this time, or the routers have chosen another keeper.
constexpr Milliseconds maxRetryAfterOwnDenial { 2000 };
/// The share doesn't add up over a pause of this length, or all routers would have a permit at the moment in which the
/// keeper is lost.
constexpr Milliseconds ownSharePause { 5000 };
constexpr Milliseconds ownShareRetention { 600 * 1000 };
constexpr Milliseconds grantedRetention { 2000 };
/// The only client of an own share.
const PermitClient self(0);

} // namespace

PermitExchange::PermitExchange(Context context)
    : context_(std::move(context))
{
}

void PermitExchange::setEngines(std::set<Endpoint> engines) { engines_ = std::move(engines); }

void PermitExchange::setCommonKeepers(std::set<Endpoint> keepers) { commonKeepers_ = std::move(keepers); }

Endpoint PermitExchange::keeperOf(const Endpoint& server) const
{
    if (engines_.contains(server))
        return server;
    std::vector<framework::VmName> names;
    for (const Endpoint& keeper : commonKeepers_)
        names.emplace_back(keeper.value());
    if (names.empty())
        return {};
    return Endpoint(policy::rendezvousOrder(server.value(), std::move(names)).front().value());
}

void PermitExchange::didOpen(const Endpoint& keeper)
{
    open_.insert(keeper);
    std::vector<PermitNumber> own;
    for (const auto& [number, order] : orders_) {
        if (order.keeper.value().empty() && keeperOf(order.order.endpoint) == keeper)
            own.push_back(number);
    }
    askAgain(own);
}

void PermitExchange::didClose(const Endpoint& keeper)
{
    open_.erase(keeper);
    std::vector<PermitNumber> lost;
    for (const auto& [number, order] : orders_) {
        if (order.keeper == keeper)
            lost.push_back(number);
    }
    askAgain(lost);
}

void PermitExchange::askAgain(const std::vector<PermitNumber>& numbers)
{
    for (const PermitNumber& number : numbers) {
        auto order = orders_.extract(number);
        if (order.empty())
            continue;
        if (order.mapped().keeper.value().empty())
            withdrawFrom({}, order.mapped().order.limit.server, number);
        ask(order.mapped().order, std::move(order.mapped().handler));
    }
}

void PermitExchange::share(const LimitStatement& statement, const Endpoint& server)
{
    const Endpoint keeper = keeperOf(server);
    if (!open_.contains(keeper))
        return;
    PermitUpdate update;
    update.limits.push_back(statement);
    context_.send(keeper, toWire(update, context_.clock.now()));
}

void PermitExchange::ask(const PermitOrder& order, std::function<void(const PermitReply&)> handler)
{
    forgetOld();
    const SteadyTime now = context_.clock.now();
    const Endpoint keeper = keeperOf(order.endpoint);
    Order& added = orders_[order.number];
    added = { order, std::move(handler), now, open_.contains(keeper) ? keeper : Endpoint(), nullptr };
    if (added.keeper.value().empty())
        askOwnShare(added);
    else
        askKeeper(added);
}

/// The keeper denies a request whose time has passed; the timeout covers the loss of its answer.
void PermitExchange::askKeeper(Order& order)
{
    const SteadyTime now = context_.clock.now();
    const PermitNumber number = order.order.number;
    const SteadyTime answerBy = std::max(now, order.order.neededBy.at()) + answerTimeout;
    order.timeout = context_.control.runAt(Deadline(answerBy), [this, number] {
        const auto late = orders_.find(number);
        if (late == orders_.end())
            return;
        withdrawFrom(late->second.keeper, late->second.order.limit.server, number);
        reply(number, { false, retryAfterTimeout, "no answer" });
    });
    PermitUpdate update;
    update.limits.push_back(order.order.limit);
    update.asked.push_back({ number, order.order.limit.server, order.order.priority, order.order.neededBy });
    context_.send(order.keeper, toWire(update, now));
}

PermitExchange::OwnShare& PermitExchange::ownShare(const PermitOrder& order)
{
    const SteadyTime now = context_.clock.now();
    const ServerRunKey& server = order.limit.server;
    // Routers that lose the keeper at the same moment would send their first requests together if all began with none.
    const auto [known, isNew] = shares_.try_emplace(
        server, OwnShare { PermitQueue(PermitBucket(framework::randomFraction())), {}, now, nullptr });
    OwnShare& share = known->second;
    if (isNew || now - share.usedAt > ownSharePause)
        share.queue.skip(now);
    share.rate = RequestRate(ownShareOfLimit * order.rate.value() / std::max<std::uint32_t>(1, order.routers));
    share.usedAt = now;
    return share;
}

void PermitExchange::askOwnShare(Order& order)
{
    const PermitOrder asked = order.order;
    const SteadyTime now = context_.clock.now();
    OwnShare& share = ownShare(asked);
    handleOwnDecisions(asked.limit.server,
        share.queue.ask({ { self, asked.number }, asked.priority, now, asked.neededBy }, share.rate, now));
}

void PermitExchange::decideOwnShare(const ServerRunKey& server)
{
    const auto share = shares_.find(server);
    if (share == shares_.end())
        return;
    share->second.usedAt = context_.clock.now();
    handleOwnDecisions(server, share->second.queue.decide(share->second.rate, context_.clock.now()));
}

void PermitExchange::handleOwnDecisions(const ServerRunKey& server, const std::vector<PermitDecision>& decisions)
{
    OwnShare& share = shares_.at(server);
    const auto next = share.queue.nextDecision(share.rate);
    share.timer = next ? context_.control.runAt(*next, [this, server] { decideOwnShare(server); }) : nullptr;
    for (const PermitDecision& decision : decisions)
        reply(decision.id.number,
            { decision.isGranted, std::min(maxRetryAfterOwnDenial, decision.retryAfter), "own share" });
}

void PermitExchange::receive(const Endpoint& from, const wire::fb::ServerPermitsT& body)
{
    const SteadyTime now = context_.clock.now();
    const PermitUpdate update = fromWire(body, now);
    for (const PermitDecision& decision : update.answered) {
        const auto order = orders_.find(decision.id.number);
        if (order == orders_.end() || order->second.keeper != from)
            continue;
        const auto transit = now - order->second.askedAt - decision.waited;
        if (decision.isGranted && transit > maxTransit) {
            context_.metrics.count("lagoon_permits_lapsed_total");
            withdrawFrom(from, order->second.order.limit.server, decision.id.number);
            reply(decision.id.number, { false, Milliseconds(0), "lapsed" });
            continue;
        }
        reply(decision.id.number, { decision.isGranted, decision.retryAfter, "agent" });
    }
    if (!update.limits.empty())
        context_.didReceiveLimits(update.limits);
}

void PermitExchange::reply(const PermitNumber& number, const PermitReply& reply)
{
    auto order = orders_.extract(number);
    if (order.empty())
        return;
    if (reply.isGranted)
        granted_[number] = { order.mapped().keeper, order.mapped().order.limit.server,
            Deadline::after(context_.clock.now(), grantedRetention) };
    order.mapped().handler(reply);
}

void PermitExchange::withdraw(const PermitNumber& number)
{
    if (auto order = orders_.extract(number); !order.empty())
        return withdrawFrom(order.mapped().keeper, order.mapped().order.limit.server, number);
    if (auto granted = granted_.extract(number); !granted.empty())
        withdrawFrom(granted.mapped().keeper, granted.mapped().server, number);
}

void PermitExchange::withdrawFrom(const Endpoint& keeper, const ServerRunKey& server, const PermitNumber& number)
{
    const SteadyTime now = context_.clock.now();
    if (keeper.value().empty()) {
        const auto share = shares_.find(server);
        if (share != shares_.end())
            share->second.queue.withdraw({ self, number }, share->second.rate, now);
        return;
    }
    if (!open_.contains(keeper))
        return;
    PermitUpdate update;
    update.withdrawn.push_back(number);
    context_.send(keeper, toWire(update, now));
}

void PermitExchange::forgetOld()
{
    const SteadyTime now = context_.clock.now();
    std::erase_if(granted_, [now](const auto& entry) { return entry.second.keptUntil.hasPassed(now); });
    std::erase_if(shares_, [now](const auto& entry) {
        return entry.second.queue.waiting() == 0 && now - entry.second.usedAt > ownShareRetention;
    });
}

} // namespace lagoon::ratelimits
