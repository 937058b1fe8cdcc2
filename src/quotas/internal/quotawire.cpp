#include "quotas/quotawire.h"

#include <algorithm>
#include <cmath>
#include <memory>
#include <string>
#include <utility>

namespace lagoon::quotas {

namespace {

using framework::Milliseconds;

/// No request uses more; larger amounts come from a faulty sender.
constexpr double maxCost = 1e12;

std::uint32_t wireTime(Milliseconds time)
{
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(time.count(), 0, UINT32_MAX));
}

std::unique_ptr<wire::fb::QuotaDrawT> toWire(const QuotaDraw& draw, std::uint64_t number = 0)
{
    auto body = std::make_unique<wire::fb::QuotaDrawT>();
    body->number = number;
    body->customer = draw.customer.value();
    body->version = draw.version.value();
    body->per_second = draw.quota.perSecond;
    body->burst = draw.quota.burst;
    body->cost = draw.cost;
    return body;
}

bool isAmount(double value) { return std::isfinite(value) && value >= 0 && value <= maxCost; }

std::optional<QuotaDraw> fromWire(const wire::fb::QuotaDrawT& body)
{
    if (body.customer.empty() || !isAmount(body.per_second) || !isAmount(body.burst) || !isAmount(body.cost))
        return std::nullopt;
    QuotaDraw draw;
    draw.customer = catalog::CustomerName(body.customer);
    draw.version = catalog::ConfigurationVersion(body.version);
    draw.quota.perSecond = body.per_second;
    draw.quota.burst = body.burst;
    draw.cost = body.cost;
    return draw;
}

std::vector<QuotaDraw> readDraws(const std::vector<std::unique_ptr<wire::fb::QuotaDrawT>>& list)
{
    std::vector<QuotaDraw> draws;
    for (const auto& one : list) {
        if (auto draw = fromWire(*one))
            draws.push_back(std::move(*draw));
    }
    return draws;
}

std::unique_ptr<wire::fb::RouterStandingT> toWire(const RouterStanding& standing)
{
    auto body = std::make_unique<wire::fb::RouterStandingT>();
    body->router = standing.router.value();
    body->keeper = standing.keeper.value();
    for (const framework::Endpoint& keeper : standing.usable)
        body->usable.push_back(keeper.value());
    body->routers = standing.routers;
    body->is_unchanged = standing.isUnchanged;
    for (const CustomerPastUse& past : standing.past) {
        auto entry = std::make_unique<wire::fb::CustomerPastUseT>();
        entry->customer = past.customer.value();
        for (const PastUse& use : past.uses)
            entry->uses.emplace_back(wireTime(use.age), use.amount);
        body->past.push_back(std::move(entry));
    }
    body->remembered_ms = wireTime(standing.remembered);
    return body;
}

RouterStanding fromWire(const wire::fb::RouterStandingT& body)
{
    RouterStanding standing;
    standing.router = framework::VmName(body.router);
    standing.keeper = framework::Endpoint(body.keeper);
    for (const std::string& keeper : body.usable)
        standing.usable.emplace_back(keeper);
    standing.routers = body.routers;
    standing.isUnchanged = body.is_unchanged;
    for (const auto& entry : body.past) {
        CustomerPastUse past { catalog::CustomerName(entry->customer), {} };
        for (const wire::fb::PastUse& use : entry->uses) {
            if (isAmount(use.amount()))
                past.uses.push_back({ Milliseconds(use.age_ms()), use.amount() });
        }
        standing.past.push_back(std::move(past));
    }
    standing.remembered = Milliseconds(body.remembered_ms);
    return standing;
}

} // namespace

wire::Message toWire(const QuotaUpdate& update)
{
    wire::fb::CustomerQuotasT body;
    if (update.standing)
        body.standing = toWire(*update.standing);
    for (const DrawQuery& query : update.asked)
        body.asked.push_back(toWire(query.draw, query.number.value()));
    for (const QuotaDraw& draw : update.returned)
        body.returned.push_back(toWire(draw));
    for (const QuotaDraw& draw : update.charged)
        body.charged.push_back(toWire(draw));
    for (const DrawDecision& decision : update.answered) {
        body.answered.emplace_back(
            decision.number.value(), wireTime(decision.retryAfter), decision.isGranted, decision.isPartial);
    }
    body.routers = update.routers;
    body.tolerance = update.tolerance;
    return wire::message(std::move(body));
}

QuotaUpdate fromWire(const wire::fb::CustomerQuotasT& body)
{
    QuotaUpdate update;
    if (body.standing)
        update.standing = fromWire(*body.standing);
    for (const auto& one : body.asked) {
        if (auto draw = fromWire(*one))
            update.asked.push_back({ DrawNumber(one->number), std::move(*draw) });
    }
    update.returned = readDraws(body.returned);
    update.charged = readDraws(body.charged);
    for (const wire::fb::QuotaAnswer& answer : body.answered) {
        update.answered.push_back({ DrawNumber(answer.number()), answer.is_granted(),
            Milliseconds(answer.retry_after_ms()), answer.is_partial() });
    }
    update.routers = body.routers;
    update.tolerance = isAmount(body.tolerance) ? body.tolerance : 0;
    return update;
}

} // namespace lagoon::quotas
