#include "quotas/quotaexchange.h"

#include "framework/decisionlog.h"
#include "quotas/routerstandings.h"

#include <algorithm>
#include <utility>

namespace lagoon::quotas {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;

/// Agents answer within milliseconds. A keeper that takes longer may stand still, and another one is asked.
constexpr Milliseconds answerTimeout { 250 };
/// A router that has just started has its first link within a few network delays. Without one, another router may have
/// a keeper, so that callers shouldn't wait here.
constexpr Milliseconds keeperTimeout { 600 };
/// Keepers that are slow are waited for until this much of the caller's time is over.
constexpr int waitedPartOfTime = 2;
/// Less than the retention of a silent router at the keepers, so that they hold back what it grants on its own.
constexpr Milliseconds maxTimeAlone { 45000 };
/// Another router may have a keeper.
constexpr Milliseconds retryAfterUndecided { 500 };
/// Keepers stop counting a router that is silent for longer than two of these intervals.
constexpr Milliseconds standingInterval { 900 };
/// Longer than routers take to find agents again that were restarted; till then, these know of few routers.
constexpr Milliseconds countRetention { 10000 };
/// The rest covers what two keepers grant at once while routers change from one to the other.
constexpr double plannedToleranceShare = 0.5;

const char* outcomeLabel(DrawOutcome outcome)
{
    if (outcome == DrawOutcome::Granted)
        return "granted";
    return outcome == DrawOutcome::OverQuota ? "over_quota" : "undecided";
}

DrawReply replyTo(const DrawDecision& decision)
{
    if (decision.isGranted)
        return { DrawOutcome::Granted, Milliseconds(0), "keeper" };
    if (!decision.isPartial)
        return { DrawOutcome::OverQuota, decision.retryAfter, "keeper" };
    // Another router may have the keeper of the rest.
    return { DrawOutcome::Undecided, std::min(decision.retryAfter, retryAfterUndecided), "keeper of a part" };
}

} // namespace

QuotaExchange::QuotaExchange(Context context)
    : context_(std::move(context))
    , linkedRouters_(countRetention)
    , countedRouters_(countRetention)
    , startedAt_(context_.clock.now())
    , ticks_(context_.control, context_.clock, standingInterval, [this] { tick(); })
{
}

void QuotaExchange::setRouters(std::uint32_t routers) { linkedRouters_.note(routers, context_.clock.now()); }

void QuotaExchange::setTolerance(double tolerance) { tolerance_ = plannedToleranceShare * tolerance; }

std::vector<Endpoint> QuotaExchange::usable() const
{
    std::vector<Endpoint> keepers;
    for (const Endpoint& keeper : open_) {
        if (keepers_.contains(keeper) && !unanswering_.contains(keeper))
            keepers.push_back(keeper);
    }
    return keepers;
}

void QuotaExchange::setKeepers(std::set<Endpoint> keepers)
{
    const std::set<Endpoint> before = std::exchange(keepers_, std::move(keepers));
    if (before == keepers_)
        return;
    for (const Endpoint& keeper : before) {
        if (!keepers_.contains(keeper))
            leave(keeper);
    }
    restate();
    if (keepers_.empty())
        ticks_.stop();
    else if (!ticks_.isStarted())
        ticks_.start();
}

/// Otherwise the keeper would count this router, beside the one that it asks now, until it noticed its silence.
void QuotaExchange::leave(const Endpoint& keeper)
{
    if (open_.contains(keeper))
        state(keeper, usable(), 0);
}

void QuotaExchange::didOpen(const Endpoint& keeper)
{
    open_.insert(keeper);
    stated_.erase(keeper);
    unanswering_.erase(keeper);
    if (keepers_.contains(keeper))
        restate();
}

void QuotaExchange::didClose(const Endpoint& keeper)
{
    open_.erase(keeper);
    unanswering_.erase(keeper);
    pending_.erase(keeper);
    stated_.erase(keeper);
    if (keepers_.contains(keeper))
        restate();
    std::vector<DrawNumber> lost;
    for (const auto& [number, order] : orders_) {
        if (order.keeper == keeper)
            lost.push_back(number);
    }
    decideAgain(lost);
}

void QuotaExchange::setUnanswering(const Endpoint& keeper)
{
    if (!open_.contains(keeper) || !unanswering_.insert(keeper).second)
        return;
    logDecision(LogLine("quota_keeper_unanswering").text("keeper", keeper.value()));
    context_.metrics.count("lagoon_quota_keepers_unanswering_total");
    restate();
}

/// A keeper decides on draws by the standing in the same message, which may name another one for their customers.
std::vector<DrawNumber> QuotaExchange::takeUnsent()
{
    std::vector<DrawNumber> unsent;
    for (auto& [keeper, update] : pending_) {
        for (const DrawQuery& query : std::exchange(update.asked, {}))
            unsent.push_back(query.number);
    }
    return unsent;
}

void QuotaExchange::restate()
{
    const std::vector<Endpoint> keepers = usable();
    const SteadyTime now = context_.clock.now();
    const std::uint32_t routers = linkedRouters_.value(now);
    if (!keepers.empty()) {
        lastUsableAt_ = now;
        // From now on, the keepers grant what this router would.
        ownShares_.clear();
    }
    const std::vector<DrawNumber> unsent = takeUnsent();
    for (const Endpoint& keeper : open_) {
        if (keepers_.contains(keeper))
            state(keeper, keepers, routers);
    }
    decideAgain(unsent);
    if (keepers.empty())
        return;
    std::vector<DrawNumber> waiting;
    for (const auto& [number, order] : orders_) {
        if (order.keeper.value().empty())
            waiting.push_back(number);
    }
    decideAgain(waiting);
}

void QuotaExchange::state(const Endpoint& keeper, const std::vector<Endpoint>& usable, std::uint32_t routers)
{
    QuotaUpdate& update = pendingFor(keeper);
    // One that isn't sent yet is replaced whole.
    const bool isNew = update.standing && !update.standing->isUnchanged;
    const auto [known, isFirst] = stated_.try_emplace(keeper, usable);
    const bool isUnchanged = !isNew && !isFirst && known->second == usable;
    known->second = usable;
    update.standing = RouterStanding { context_.router, keeper, {}, isUnchanged, routers, {}, Milliseconds(0) };
    if (isUnchanged)
        return;
    update.standing->usable = usable;
    update.standing->past = pastUses(keeper, usable);
    update.standing->remembered = std::chrono::duration_cast<Milliseconds>(context_.clock.now() - startedAt_);
}

/// The uses of the customers for which this router asks the keeper.
std::vector<CustomerPastUse> QuotaExchange::pastUses(const Endpoint& keeper, const std::vector<Endpoint>& usable)
{
    const SteadyTime now = context_.clock.now();
    std::vector<CustomerPastUse> all;
    for (auto& [customer, use] : used_) {
        use.expire(now);
        if (use.isEmpty() || keeperOf(customer, usable) != keeper)
            continue;
        CustomerPastUse past { customer, {} };
        for (const RecentUse::Step& step : use.steps())
            past.uses.push_back(
                { std::chrono::duration_cast<Milliseconds>(now - std::min(now, step.at)), step.amount });
        all.push_back(std::move(past));
    }
    return all;
}

void QuotaExchange::noteUse(const QuotaDraw& draw)
{
    RecentUse& use = used_[draw.customer];
    use.expire(context_.clock.now());
    use.add(draw.cost, context_.clock.now());
}

void QuotaExchange::forgetOldUses()
{
    for (auto& [customer, use] : used_)
        use.expire(context_.clock.now());
    std::erase_if(used_, [](const auto& entry) { return entry.second.isEmpty(); });
}

void QuotaExchange::tick()
{
    restate();
    forgetOldUses();
}

QuotaUpdate& QuotaExchange::pendingFor(const Endpoint& keeper)
{
    if (!std::exchange(isFlushPosted_, true)) {
        context_.control.post([this, alive = std::weak_ptr<int>(alive_)] {
            if (!alive.expired())
                flush();
        });
    }
    return pending_[keeper];
}

/// Sends all that has come together for a keeper in one message.
void QuotaExchange::flush()
{
    isFlushPosted_ = false;
    for (auto& [keeper, update] : std::exchange(pending_, {})) {
        update.tolerance = tolerance_;
        if (open_.contains(keeper))
            context_.send(keeper, toWire(update));
    }
}

void QuotaExchange::draw(const DrawNumber& number, const QuotaDraw& draw, std::function<void(const DrawReply&)> handler)
{
    orders_[number] = { draw, std::move(handler), {}, nullptr };
    decide(number);
}

void QuotaExchange::decide(const DrawNumber& number)
{
    const auto order = orders_.find(number);
    if (order == orders_.end())
        return;
    // Nobody waits for it any more.
    if (!order->second.handler) {
        orders_.erase(order);
        return;
    }
    if (const auto keeper = keeperOf(order->second.draw.customer, usable()))
        return ask(number, order->second, *keeper);
    if (mayDecideAlone())
        return decideAlone(number, order->second);
    awaitKeeper(number, order->second);
}

void QuotaExchange::ask(const DrawNumber& number, Order& order, const Endpoint& keeper)
{
    order.keeper = keeper;
    order.timeout = context_.control.runAt(
        Deadline::after(context_.clock.now(), answerTimeout), [this, number] { didTimeOut(number); });
    pendingFor(keeper).asked.push_back({ number, order.draw });
}

void QuotaExchange::awaitKeeper(const DrawNumber& number, Order& order)
{
    order.keeper = Endpoint();
    if (order.timeout)
        return;
    const SteadyTime now = context_.clock.now();
    const Milliseconds timeLeft = order.draw.neededBy.remaining(now);
    const Milliseconds wait = hasOpenKeeper() ? std::max(keeperTimeout, timeLeft / waitedPartOfTime) : keeperTimeout;
    order.timeout = context_.control.runAt(Deadline::after(now, wait), [this, number] {
        reply(number, { DrawOutcome::Undecided, retryAfterUndecided, "no keeper" });
    });
}

/// What a keeper grants after this is lost until the request's part comes in again.
void QuotaExchange::didTimeOut(const DrawNumber& number)
{
    const auto order = orders_.find(number);
    if (order == orders_.end())
        return;
    order->second.timeout.reset();
    setUnanswering(order->second.keeper);
    decide(number);
}

bool QuotaExchange::hasOpenKeeper() const
{
    return std::any_of(open_.begin(), open_.end(), [this](const Endpoint& one) { return keepers_.contains(one); });
}

bool QuotaExchange::mayDecideAlone() const
{
    return lastUsableAt_ && allRouters_ > 0 && context_.clock.now() - *lastUsableAt_ < maxTimeAlone;
}

Allowance& QuotaExchange::ownShare(const QuotaDraw& draw)
{
    Allowance& share = ownShares_[draw.customer];
    const AllowanceTerms whole { draw.quota.perSecond, draw.quota.burst, tolerance_, false };
    share.refill(whole.scaled(1.0 / allRouters_), context_.clock.now());
    return share;
}

void QuotaExchange::decideAlone(const DrawNumber& number, Order& order)
{
    Allowance& share = ownShare(order.draw);
    if (share.draw(order.draw.cost))
        return reply(number, { DrawOutcome::Granted, Milliseconds(0), "own share" });
    // Keepers with an open link may merely be slow.
    if (hasOpenKeeper())
        return awaitKeeper(number, order);
    const Milliseconds wait = share.deny(order.draw.cost, context_.clock.now());
    // Another router may have a keeper, with more left.
    reply(number, { DrawOutcome::Undecided, std::min(wait, retryAfterUndecided), "own share" });
}

void QuotaExchange::receive(const Endpoint& from, const wire::fb::CustomerQuotasT& body)
{
    const QuotaUpdate update = fromWire(body);
    if (update.routers > 0) {
        countedRouters_.note(update.routers, context_.clock.now());
        allRouters_ = countedRouters_.value(context_.clock.now());
    }
    if (unanswering_.erase(from) > 0)
        restate();
    for (const DrawDecision& decision : update.answered) {
        const auto order = orders_.find(decision.number);
        if (order == orders_.end() || order->second.keeper != from)
            continue;
        // The present keeper was told this router's uses before it knew of this one.
        if (const auto keeper = keeperOf(order->second.draw.customer, usable());
            decision.isGranted && keeper && *keeper != from)
            pendingFor(*keeper).charged.push_back(order->second.draw);
        reply(decision.number, replyTo(decision));
    }
}

void QuotaExchange::reply(const DrawNumber& number, const DrawReply& reply)
{
    auto order = orders_.extract(number);
    if (order.empty())
        return;
    context_.metrics.count("lagoon_customer_draws_total",
        { { "customer", labels_.label(order.mapped().draw.customer.value()) },
            { "outcome", outcomeLabel(reply.outcome) } });
    if (reply.outcome == DrawOutcome::Granted)
        noteUse(order.mapped().draw);
    if (order.mapped().handler)
        order.mapped().handler(reply);
    else if (reply.outcome == DrawOutcome::Granted)
        giveBack(order.mapped().draw);
}

void QuotaExchange::decideAgain(const std::vector<DrawNumber>& numbers)
{
    for (const DrawNumber& number : numbers) {
        const auto order = orders_.find(number);
        if (order == orders_.end())
            continue;
        order->second.keeper = Endpoint();
        order->second.timeout.reset();
        decide(number);
    }
}

void QuotaExchange::withdraw(const DrawNumber& number)
{
    const auto order = orders_.find(number);
    if (order != orders_.end())
        order->second.handler = nullptr;
}

void QuotaExchange::giveBack(const QuotaDraw& draw)
{
    if (const auto used = used_.find(draw.customer); used != used_.end())
        used->second.takeBack(draw.cost);
    if (const auto keeper = keeperOf(draw.customer, usable()))
        pendingFor(*keeper).returned.push_back(draw);
    else if (mayDecideAlone())
        ownShare(draw).credit(draw.cost);
}

void QuotaExchange::charge(const QuotaDraw& draw)
{
    noteUse(draw);
    if (const auto keeper = keeperOf(draw.customer, usable()))
        pendingFor(*keeper).charged.push_back(draw);
    else if (mayDecideAlone())
        ownShare(draw).charge(draw.cost);
}

} // namespace lagoon::quotas
