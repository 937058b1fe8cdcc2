#include "quotas/quotakeeper.h"

#include "framework/decisionlog.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace lagoon::quotas {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;

/// Of burst and tolerance, what a router that has just started can't have used before.
constexpr double unusedPart = 0.25;
/// Of a large burst, no more than comes in in this time.
constexpr double maxUnusedSeconds = 1;
/// Much longer than a bucket takes to fill. An allowance that nobody used for so long begins anew.
constexpr Milliseconds allowanceRetention { 600 * 1000 };
constexpr Milliseconds forgetInterval { 5000 };
/// A keeper that has most of the routers grants requests of any size.
constexpr double minShareForOversized = 0.5;
/// With less, a denial says nothing about the whole quota.
constexpr double minShareOfWhole = 0.5;
/// A customer counts as denied until it was not denied for this time.
constexpr Milliseconds denialEnd { 5000 };
constexpr Milliseconds minLogInterval { 1000 };

} // namespace

QuotaKeeper::QuotaKeeper(Context context)
    : context_(context)
{
}

std::optional<wire::Message> QuotaKeeper::receive(
    const framework::VmName& router, const wire::fb::CustomerQuotasT& body)
{
    const QuotaUpdate update = fromWire(body);
    tolerance_ = update.tolerance;
    forgetIdle();
    if (update.standing) {
        RouterStanding standing = *update.standing;
        standing.router = router;
        standings_.note(standing, context_.clock.now());
        if (!standing.isUnchanged)
            recalculate(uses_.learn(standing, context_.clock.now()));
        uses_.didHear(router, context_.clock.now());
    }
    applyShares();
    logRouters();
    for (const QuotaDraw& draw : update.returned) {
        customerOf(draw).allowance.credit(draw.cost);
        uses_.takeBack(router, draw.customer, draw.cost);
    }
    for (const QuotaDraw& draw : update.charged) {
        customerOf(draw).allowance.charge(draw.cost);
        uses_.add(router, draw.customer, draw.cost, context_.clock.now());
    }
    QuotaUpdate answer;
    for (const DrawQuery& query : update.asked)
        answer.answered.push_back(decide(router, query));
    answer.routers = standings_.routers();
    if (answer.answered.empty() && !update.standing)
        return std::nullopt;
    return toWire(answer);
}

void QuotaKeeper::didClose(const framework::VmName& router)
{
    standings_.didClose(router);
    applyShares();
}

void QuotaKeeper::applyShares()
{
    if (!standings_.update(context_.clock.now()))
        return;
    for (auto& customer : customers_) {
        refill(customer.second);
        setShare(customer, standings_.share(customer.first));
    }
}

/// A greater share alone grants nothing: its routers may just have used what it stands for.
void QuotaKeeper::setShare(Customers::value_type& customer, double share)
{
    const double before = std::exchange(customer.second.share, share);
    if (share > before)
        recalculate(customer);
    else
        refill(customer.second);
}

AllowanceTerms QuotaKeeper::terms(const CustomerAllowance& customer) const
{
    const AllowanceTerms whole { customer.quota.perSecond, customer.quota.burst, tolerance_,
        customer.share > minShareForOversized };
    return whole.scaled(customer.share);
}

void QuotaKeeper::refill(CustomerAllowance& customer)
{
    customer.allowance.refill(terms(customer), context_.clock.now());
}

void QuotaKeeper::recalculate(const std::set<catalog::CustomerName>& changed)
{
    for (const catalog::CustomerName& name : changed) {
        const auto customer = customers_.find(name);
        if (customer != customers_.end() && customer->second.share > 0)
            recalculate(*customer);
    }
}

/// Sets the allowance to what the known and the assumed uses of late leave of it.
void QuotaKeeper::recalculate(Customers::value_type& entry)
{
    auto& [name, customer] = entry;
    const SteadyTime now = context_.clock.now();
    const double levelBefore = leastLevel(customer.quota) * customer.share;
    std::vector<RecentUse::Step> uses = uses_.known(name, now);
    // What a router may have used before its uses are known.
    const double assumed = (customer.quota.burst - leastLevel(customer.quota)) / standings_.routers();
    for (const SteadyTime since : uses_.knownSince(name, now))
        uses.push_back({ since, assumed });
    refill(customer);
    customer.allowance.setLevel(levelAfter(std::move(uses), levelBefore, terms(customer), now));
}

/// The level that is assumed where nothing is known: keepers and routers may have granted nearly all just before.
double QuotaKeeper::leastLevel(const catalog::Quota& quota) const
{
    return unusedPart * (std::min(quota.burst, maxUnusedSeconds * quota.perSecond) + tolerance_) - tolerance_;
}

QuotaKeeper::CustomerAllowance& QuotaKeeper::customerOf(const QuotaDraw& draw)
{
    const auto [known, isNew] = customers_.try_emplace(draw.customer);
    CustomerAllowance& customer = known->second;
    if (!isNew)
        refill(customer);
    if (isNew || draw.version >= customer.version) {
        customer.quota = draw.quota;
        customer.version = draw.version;
    }
    if (isNew) {
        customer.share = standings_.share(draw.customer);
        recalculate(*known);
        if (!uses_.knownSince(draw.customer, context_.clock.now()).empty())
            customer.allowance.allowExceedingOnce();
    } else {
        refill(customer);
    }
    customer.usedAt = context_.clock.now();
    return customer;
}

DrawDecision QuotaKeeper::decide(const framework::VmName& router, const DrawQuery& query)
{
    CustomerAllowance& customer = customerOf(query.draw);
    const bool isGranted = customer.allowance.draw(query.draw.cost);
    context_.metrics.count("lagoon_quota_draws_total", { { "outcome", isGranted ? "granted" : "denied" } });
    if (isGranted) {
        uses_.add(router, query.draw.customer, query.draw.cost, context_.clock.now());
        return { query.number, true };
    }
    noteDenial(query.draw.customer, customer);
    return { query.number, false, customer.allowance.deny(query.draw.cost, context_.clock.now()),
        customer.share < minShareOfWhole };
}

void QuotaKeeper::noteDenial(const catalog::CustomerName& name, CustomerAllowance& customer)
{
    const bool wasDenied = customer.deniedUntil.has_value();
    customer.deniedUntil = Deadline::after(context_.clock.now(), denialEnd);
    if (wasDenied)
        return;
    logDecision(LogLine("quota_denial_begun")
                    .text("customer", name.value())
                    .number("per_second", customer.quota.perSecond)
                    .number("burst", customer.quota.burst)
                    .number("version", customer.version.value())
                    .number("share", customer.share)
                    .number("used", uses_.sum(name, context_.clock.now()))
                    .number("used_in_ms", RecentUse::retention.count())
                    .number("routers", standings_.routers()));
}

void QuotaKeeper::logEndsOfDenial()
{
    for (auto& [name, customer] : customers_) {
        if (!customer.deniedUntil || !customer.deniedUntil->hasPassed(context_.clock.now()))
            continue;
        customer.deniedUntil.reset();
        logDecision(LogLine("quota_denial_ended").text("customer", name.value()).number("share", customer.share));
    }
}

/// Routers that start together change their number many times a second.
void QuotaKeeper::logRouters()
{
    const SteadyTime now = context_.clock.now();
    const std::pair<std::size_t, std::uint32_t> routers { standings_.linkedRouters(), standings_.routers() };
    if (routers == loggedRouters_ || !logRoutersAt_.hasPassed(now))
        return;
    loggedRouters_ = routers;
    logRoutersAt_ = Deadline::after(now, minLogInterval);
    logDecision(LogLine("quota_share").number("routers", routers.first).number("all_routers", routers.second));
}

void QuotaKeeper::forgetIdle()
{
    const SteadyTime now = context_.clock.now();
    if (!forgetAt_.hasPassed(now))
        return;
    forgetAt_ = Deadline::after(now, forgetInterval);
    logEndsOfDenial();
    std::erase_if(customers_, [&](const auto& entry) { return now - entry.second.usedAt > allowanceRetention; });
    uses_.forgetOld(now);
}

} // namespace lagoon::quotas
