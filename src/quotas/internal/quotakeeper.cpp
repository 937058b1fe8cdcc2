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
/// A router that restarts within this time of its last message can't have used much that this keeper doesn't know.
constexpr Milliseconds maxRestartTime { 2000 };
/// By how much a router's statements may be delayed differently.
constexpr Milliseconds maxDelay { 1000 };
/// Much longer than any use is remembered.
constexpr Milliseconds routerRetention { 60000 };
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
            learnPastUses(router, standing);
        if (const auto known = routers_.find(router); known != routers_.end())
            known->second.heardAt = context_.clock.now();
    }
    applyShares();
    logRouters();
    for (const QuotaDraw& draw : update.returned) {
        used_[draw.customer][router].takeBack(draw.cost);
        customerOf(draw).allowance.credit(draw.cost);
    }
    for (const QuotaDraw& draw : update.charged) {
        customerOf(draw).allowance.charge(draw.cost);
        noteUse(router, draw);
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

/// A router that remembers less of its uses than this keeper has restarted: what is known of it stays. One that asks
/// other keepers now tells them instead.
void QuotaKeeper::learnPastUses(const framework::VmName& router, const RouterStanding& standing)
{
    const SteadyTime now = context_.clock.now();
    const SteadyTime remembersSince = now - standing.remembered;
    self_ = standing.keeper;
    const auto [known, isNew] = routers_.try_emplace(router, KnownRouter { now, now, {} });
    known->second.usable = standing.usable;
    if (isNew)
        known->second.knownSince = remembersSince;
    const bool remembersAll = remembersSince <= known->second.knownSince + maxDelay;
    if (remembersAll) {
        known->second.knownSince = std::min(known->second.knownSince, remembersSince);
        return replacePastUses(router, standing.past);
    }
    if (remembersSince - known->second.heardAt > maxRestartTime)
        known->second.knownSince = remembersSince;
}

void QuotaKeeper::replacePastUses(const framework::VmName& router, const std::vector<CustomerPastUse>& stated)
{
    const SteadyTime now = context_.clock.now();
    std::set<catalog::CustomerName> changed;
    for (auto& [customer, uses] : used_) {
        if (uses.erase(router) > 0)
            changed.insert(customer);
    }
    for (const CustomerPastUse& past : stated) {
        changed.insert(past.customer);
        for (const PastUse& use : past.uses)
            used_[past.customer][router].add(use.amount, now - use.age);
    }
    for (const catalog::CustomerName& name : changed) {
        const auto customer = customers_.find(name);
        if (customer != customers_.end() && customer->second.share > 0)
            recalculate(*customer);
    }
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

/// Sets the allowance to what the known and the assumed uses of late leave of it.
void QuotaKeeper::recalculate(Customers::value_type& customer)
{
    const SteadyTime now = context_.clock.now();
    std::vector<RecentUse::Step> uses = assumedUses(customer);
    for (auto& [router, use] : used_[customer.first]) {
        use.expire(now);
        uses.insert(uses.end(), use.steps().begin(), use.steps().end());
    }
    refill(customer.second);
    const double levelBefore = leastLevel(customer.second.quota) * customer.second.share;
    customer.second.allowance.setLevel(levelAfter(std::move(uses), levelBefore, terms(customer.second), now));
}

/// The level that is assumed where nothing is known: keepers and routers may have granted nearly all just before.
double QuotaKeeper::leastLevel(const catalog::Quota& quota) const
{
    return unusedPart * (std::min(quota.burst, maxUnusedSeconds * quota.perSecond) + tolerance_) - tolerance_;
}

/// What routers may have used before all of their uses are known.
std::vector<RecentUse::Step> QuotaKeeper::assumedUses(const Customers::value_type& customer) const
{
    const auto& [name, allowance] = customer;
    const double assumed = (allowance.quota.burst - leastLevel(allowance.quota)) / standings_.routers();
    std::vector<RecentUse::Step> uses;
    // Most routers can use the same keepers.
    const std::vector<framework::Endpoint>* lastUsable = nullptr;
    bool asksThis = false;
    for (const auto& [router, known] : routers_) {
        if (context_.clock.now() - known.knownSince >= RecentUse::retention)
            continue;
        if (!lastUsable || *lastUsable != known.usable) {
            lastUsable = &known.usable;
            asksThis = keeperOf(name, known.usable) == self_;
        }
        if (asksThis)
            uses.push_back({ known.knownSince, assumed });
    }
    return uses;
}

void QuotaKeeper::noteUse(const framework::VmName& router, const QuotaDraw& draw)
{
    RecentUse& use = used_[draw.customer][router];
    use.expire(context_.clock.now());
    use.add(draw.cost, context_.clock.now());
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
        customer.allowance.begin(customer.allowance.level());
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
        noteUse(router, query.draw);
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
                    .number("used", usedOf(name))
                    .number("used_in_ms", RecentUse::retention.count())
                    .number("routers", standings_.routers()));
}

/// What all routers that ask this keeper are known to have used of late.
double QuotaKeeper::usedOf(const catalog::CustomerName& name) const
{
    const auto uses = used_.find(name);
    double sum = 0;
    if (uses == used_.end())
        return sum;
    for (const auto& [router, use] : uses->second)
        sum += use.sum();
    return sum;
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
    std::erase_if(routers_, [&](const auto& entry) { return now - entry.second.heardAt > routerRetention; });
    for (auto& [customer, uses] : used_) {
        for (auto& [router, use] : uses)
            use.expire(now);
        std::erase_if(uses, [](const auto& entry) { return entry.second.isEmpty(); });
    }
    std::erase_if(used_, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace lagoon::quotas
