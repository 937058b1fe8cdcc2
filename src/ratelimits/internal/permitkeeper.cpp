#include "ratelimits/permitkeeper.h"

#include "framework/decisionlog.h"

#include <algorithm>
#include <utility>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;

/// Changed limits are published together, so that servers that change theirs with each answer cost little.
constexpr Milliseconds publishDelay { 50 };
constexpr Milliseconds expiryInterval { 1000 };
/// Applies to servers that have no limit any more.
const RequestRate unlimitedRate(1e6);

} // namespace

PermitKeeper::PermitKeeper(Context context)
    : context_(std::move(context))
{
}

void PermitKeeper::receive(PermitClient client, const wire::fb::ServerPermitsT& body)
{
    const PermitUpdate update = fromWire(body, context_.clock.now());
    expire();
    for (const LimitStatement& statement : update.limits)
        noteLimit(statement);
    for (const PermitNumber& number : update.withdrawn)
        withdraw({ client, number });
    for (const PermitQuery& query : update.asked)
        ask(client, query);
    scheduleDecision();
}

void PermitKeeper::add(const LimitStatement& statement)
{
    noteLimit(statement);
    scheduleDecision();
}

std::optional<wire::Message> PermitKeeper::limits() const
{
    PermitUpdate update;
    update.limits = limits_.statements();
    if (update.isEmpty())
        return std::nullopt;
    return toWire(update, context_.clock.now());
}

void PermitKeeper::didClose(PermitClient client)
{
    for (auto& [server, queue] : queues_)
        queue.forgetClient(client);
}

void PermitKeeper::noteLimit(const LimitStatement& statement)
{
    if (limits_.add(statement) == LimitTable::Change::None)
        return;
    LogLine line(statement.limit ? "server_limit" : "server_limit_ended");
    line.text("server", statement.server.value());
    if (statement.limit)
        line.number("per_second", statement.limit->value());
    logDecision(line);
    context_.metrics.setGauge("lagoon_limited_servers", static_cast<double>(limits_.named()));
    unpublished_.insert(statement.server);
    if (!publishTimer_)
        publishTimer_
            = context_.control.runAt(Deadline::after(context_.clock.now(), publishDelay), [this] { publishLimits(); });
}

void PermitKeeper::publishLimits()
{
    publishTimer_.reset();
    PermitUpdate update;
    for (const ServerRunKey& server : std::exchange(unpublished_, {})) {
        if (const LimitStatement* const statement = limits_.find(server))
            update.limits.push_back(*statement);
    }
    if (!update.isEmpty())
        context_.sendToAll(toWire(update, context_.clock.now()));
}

RequestRate PermitKeeper::rateOf(const ServerRunKey& server) const
{
    return limits_.allowed(server, context_.clock.now()).value_or(unlimitedRate);
}

void PermitKeeper::ask(PermitClient client, const PermitQuery& query)
{
    const SteadyTime now = context_.clock.now();
    const PermitRequest request { { client, query.number }, query.priority, now, query.neededBy };
    deliver(queues_[query.server].ask(request, rateOf(query.server), now));
}

void PermitKeeper::withdraw(const PermitId& id)
{
    const SteadyTime now = context_.clock.now();
    for (auto& [server, queue] : queues_)
        queue.withdraw(id, rateOf(server), now);
}

void PermitKeeper::deliver(const std::vector<PermitDecision>& decisions)
{
    std::map<PermitClient, PermitUpdate> updates;
    for (const PermitDecision& decision : decisions) {
        context_.metrics.count("lagoon_permits_total", { { "outcome", decision.isGranted ? "granted" : "denied" } });
        updates[decision.id.client].answered.push_back(decision);
    }
    const SteadyTime now = context_.clock.now();
    for (const auto& [client, update] : updates)
        context_.send(client, toWire(update, now));
}

void PermitKeeper::decideAll()
{
    decisionTimer_.reset();
    const SteadyTime now = context_.clock.now();
    for (auto& [server, queue] : queues_) {
        if (queue.waiting() > 0)
            deliver(queue.decide(rateOf(server), now));
    }
    scheduleDecision();
}

void PermitKeeper::scheduleDecision()
{
    std::optional<Deadline> next;
    for (const auto& [server, queue] : queues_) {
        const auto decision = queue.nextDecision(rateOf(server));
        if (decision && (!next || *decision < *next))
            next = decision;
    }
    decisionTimer_ = next ? context_.control.runAt(*next, [this] { decideAll(); }) : nullptr;
}

void PermitKeeper::expire()
{
    const SteadyTime now = context_.clock.now();
    if (!nextExpiry_.hasPassed(now))
        return;
    nextExpiry_ = Deadline::after(now, expiryInterval);
    limits_.expire(now);
    std::erase_if(
        queues_, [&](const auto& entry) { return entry.second.waiting() == 0 && !limits_.find(entry.first); });
}

} // namespace lagoon::ratelimits
