#include "direct/internal/routerlinks.h"

#include "direct/internal/enginewire.h"
#include "direct/internal/links.h"
#include "framework/decisionlog.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace lagoon::direct {

namespace {

using framework::LogLine;

/// Routers send at least one message per second.
constexpr framework::Milliseconds linkIdleTimeout { 3500 };

} // namespace

RouterLinks::RouterLinks(Context context)
    : context_(std::move(context))
    , evidence_({ context_.control, context_.clock, [this](const wire::Message& message) { sendEvidence(message); } })
    , permits_({ context_.control, context_.clock, context_.metrics,
          [this](ratelimits::PermitClient client, const wire::Message& message) { sendTo(client, message); },
          [this](const wire::Message& message) { sendLimits(message); } })
    , quotas_({ context_.clock, context_.metrics })
    , use_({ context_.control, context_.clock, [this](const wire::Message& message) { sendUse(message); } })
{
}

wire::LinkHandlers RouterLinks::handlers()
{
    LinkEvents events;
    events.didReceive = [this](const auto& link, const wire::Message& message) { didReceive(link, message); };
    events.didClose = [this](const auto& link, const framework::Error&) { didClose(link); };
    return onControlThread(context_.control, alive_, std::move(events));
}

void RouterLinks::didReceive(const std::shared_ptr<wire::ILink>& link, const wire::Message& message)
{
    if (const wire::fb::CrashEvidenceT* const evidence = message.body.AsCrashEvidence()) {
        evidence_.receive(*evidence);
        return;
    }
    if (const wire::fb::StreamOriginsT* const origins = message.body.AsStreamOrigins()) {
        if (const auto answer = origins_.receive(*origins, context_.clock.now()))
            link->send(*answer);
        return;
    }
    if (const wire::fb::ServerPermitsT* const permits = message.body.AsServerPermits()) {
        const auto router = routers_.find(link);
        if (router != routers_.end())
            permits_.receive(router->second.client, *permits);
        return;
    }
    if (const wire::fb::CustomerQuotasT* const quotas = message.body.AsCustomerQuotas()) {
        const auto router = routers_.find(link);
        if (router == routers_.end())
            return;
        if (const auto answer = quotas_.receive(router->second.name, *quotas))
            link->send(*answer);
        return;
    }
    if (const wire::fb::CustomerUseT* const use = message.body.AsCustomerUse()) {
        const auto router = routers_.find(link);
        if (router == routers_.end())
            return;
        router->second.reportsUse = true;
        use_.receive(router->second.name, *use);
        return;
    }
    const wire::fb::WantedT* const demand = message.body.AsWanted();
    if (!demand)
        return;
    const framework::SteadyTime now = context_.clock.now();
    const auto [router, isNew] = routers_.try_emplace(link);
    const auto client = isNew ? ratelimits::PermitClient(++clients_) : router->second.client;
    const bool reportsUse = router->second.reportsUse;
    router->second
        = { framework::VmName(demand->router), now, demand->takes_evidence, demand->takes_limits, client, reportsUse };
    if (isNew)
        greet(*link, router->second);
    context_.didReceiveDemand(router->second.name, catalog::InstanceId(demand->instance), fromWire(*demand, now));
}

/// Tells a router that has just come what is known.
void RouterLinks::greet(wire::ILink& link, const Router& router)
{
    logDecision(LogLine("router_heard").text("router", router.name.value()));
    if (lastState_)
        link.send(toWire(*lastState_));
    if (router.takesEvidence) {
        for (const wire::Message& evidence : evidence_.everything())
            link.send(evidence);
    }
    const auto limits = permits_.limits();
    if (router.takesLimits && limits)
        link.send(*limits);
}

void RouterLinks::sendLimits(const wire::Message& message)
{
    for (const auto& [link, router] : routers_) {
        if (router.takesLimits)
            link->send(message);
    }
}

void RouterLinks::sendUse(const wire::Message& message)
{
    for (const auto& [link, router] : routers_) {
        if (router.reportsUse)
            link->send(message);
    }
}

void RouterLinks::sendTo(ratelimits::PermitClient client, const wire::Message& message)
{
    for (const auto& [link, router] : routers_) {
        if (router.client == client)
            link->send(message);
    }
}

/// Also sends to the router that reported it, which recognizes what it knows.
void RouterLinks::sendEvidence(const wire::Message& message)
{
    for (const auto& [link, router] : routers_) {
        if (router.takesEvidence)
            link->send(message);
    }
}

bool RouterLinks::hasOtherLink(const framework::VmName& name) const
{
    return std::any_of(routers_.begin(), routers_.end(), [&](const auto& entry) { return entry.second.name == name; });
}

void RouterLinks::didClose(const std::shared_ptr<wire::ILink>& link)
{
    const auto router = routers_.find(link);
    if (router == routers_.end())
        return;
    const framework::VmName name = router->second.name;
    permits_.didClose(router->second.client);
    routers_.erase(router);
    // A router with another open link isn't lost.
    if (hasOtherLink(name))
        return;
    quotas_.didClose(name);
    logDecision(LogLine("router_lost").text("router", name.value()));
    context_.didLoseRouter(name);
}

void RouterLinks::publish(const catalog::EngineState& state)
{
    lastState_ = state;
    sendToAll(toWire(state));
}

void RouterLinks::publishLoad(const catalog::EngineLoad& load)
{
    if (lastState_ && catalog::applyLoad(*lastState_, load))
        sendToAll(toWire(load));
}

void RouterLinks::sendToAll(const wire::Message& message)
{
    for (const auto& [link, router] : routers_)
        link->send(message);
}

void RouterLinks::closeIdle()
{
    std::vector<std::shared_ptr<wire::ILink>> idle;
    for (const auto& [link, router] : routers_) {
        if (context_.clock.now() - router.receivedAt > linkIdleTimeout)
            idle.push_back(link);
    }
    for (const auto& link : idle) {
        link->close();
        didClose(link);
    }
}

} // namespace lagoon::direct
