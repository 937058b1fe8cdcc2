#include "router/internal/wakes.h"

#include "policy/rendezvous.h"
#include "router/internal/targets.h"

#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::VmName;

namespace {

constexpr Milliseconds wakeInterval { 1000 };
constexpr Milliseconds homeAvoidance { 10000 };

} // namespace

Wakes::Wakes(const Context& context)
    : context_(context)
{
}

void Wakes::startWaiting(
    const SiteTarget& where, RequestNumber number, const WaitingRequest& request, std::uint32_t desiredReplicas)
{
    Waiting& waiting = targets_[where];
    if (waiting.requests.emplace(number, request).second)
        ++waiting_;
    waiting.desiredReplicas = std::max(waiting.desiredReplicas, desiredReplicas);
    if (!waiting.timer)
        return send(where);
    // The next wake may be up to a second away, so a request that can't meet its deadline is refused now.
    if (const std::optional<WakeReply> progress = waiting.progress)
        context_.onForecast(*progress, { number });
}

void Wakes::stopWaiting(const SiteTarget& where, RequestNumber request)
{
    const auto waiting = targets_.find(where);
    if (waiting != targets_.end() && waiting->second.requests.erase(request) > 0)
        --waiting_;
}

void Wakes::requestScaleUp(const SiteTarget& where, std::uint32_t desiredReplicas, Deadline usefulUntil)
{
    Waiting& waiting = targets_[where];
    waiting.desiredReplicas = std::max(waiting.desiredReplicas, desiredReplicas);
    waiting.usefulUntil = std::max(waiting.usefulUntil, usefulUntil);
    waiting.isScaleUpRequested = true;
    if (!waiting.timer)
        send(where);
}

std::optional<WakeReply> Wakes::progress(const SiteTarget& where) const
{
    const auto waiting = targets_.find(where);
    return waiting == targets_.end() ? std::nullopt : waiting->second.progress;
}

void Wakes::send(const SiteTarget& where)
{
    Waiting& waiting = targets_.at(where);
    waiting.timer = context_.control.runAt(
        Deadline::after(context_.clock.now(), wakeInterval), [this, where] { sendNext(where); });
    waiting.isScaleUpRequested = false;
    WakeOrder order { where, static_cast<std::uint32_t>(waiting.requests.size()), waiting.usefulUntil,
        waiting.usefulUntil, waiting.desiredReplicas };
    order.bundleVersion = context_.bundleVersion();
    if (!waiting.requests.empty())
        order.earliest = waiting.requests.begin()->second.deadline;
    for (const auto& [number, request] : waiting.requests) {
        order.earliest = std::min(order.earliest, request.deadline);
        order.latest = std::max(order.latest, request.deadline);
        order.priority = std::max(order.priority, request.priority);
    }
    const VmName home = homeFor(where, waiting);
    waiting.home = home;
    waiting.hasHomeAnswered = false;
    const auto reply = [this, where, home](const WakeReply& reply) { handleReply(where, home, reply); };
    if (home == context_.ownVm)
        context_.home.wake(home, order, reply);
    else
        context_.peers.wake(home, order, reply);
}

void Wakes::sendNext(const SiteTarget& where)
{
    Waiting& waiting = targets_.at(where);
    waiting.timer.reset();
    if (waiting.requests.empty() && !waiting.isScaleUpRequested) {
        targets_.erase(where);
        return;
    }
    avoidSilentHome(waiting);
    send(where);
}

/// Excludes a home that is frozen or whose link has gone silent: no error occurs, and its wakes would stay unanswered
/// until the requests' deadlines. A home acknowledges each wake at once, so one second without a reply is enough.
void Wakes::avoidSilentHome(Waiting& waiting)
{
    const auto now = context_.clock.now();
    std::erase_if(waiting.failedHomes, [now](const auto& failed) { return failed.second.hasPassed(now); });
    if (waiting.hasHomeAnswered || waiting.home == context_.ownVm)
        return;
    context_.metrics.count("lagoon_home_failovers_total");
    waiting.failedHomes[waiting.home] = Deadline::after(now, homeAvoidance);
    context_.peers.drop(waiting.home);
}

void Wakes::handleReply(const SiteTarget& where, const VmName& home, const WakeReply& reply)
{
    const auto found = targets_.find(where);
    if (found == targets_.end())
        return;
    Waiting& waiting = found->second;
    const std::set<RequestNumber> requests = requestNumbers(waiting);
    waiting.hasHomeAnswered = waiting.hasHomeAnswered || home == waiting.home;
    if (!reply.isFinal && !reply.soonestAt && reply.placements.empty())
        return;
    waiting.progress.reset();
    if (!reply.placements.empty()) {
        if (reply.isFinal)
            waiting.desiredReplicas = 1;
        return context_.onPlaced(where, reply.placements, requests);
    }
    if (!reply.isFinal) {
        waiting.progress = reply;
        context_.onForecast(reply, requests);
        return;
    }
    // The home failed, not the target: the next router in rendezvous order takes over at once. This router is the last
    // choice, so that a wake never depends on the availability of another router.
    if (reply.error && reply.error->code == ErrorCode::LinkLost && reply.error->step == "wake") {
        context_.metrics.count("lagoon_home_failovers_total");
        waiting.failedHomes[home] = Deadline::after(context_.clock.now(), homeAvoidance);
        if (!requests.empty())
            send(where);
        else
            waiting.isScaleUpRequested = true;
        return;
    }
    context_.onRefused(
        reply.error.value_or(Error { ErrorCode::NoCapacity, "wake", home.value() }), reply.bundleVersion, requests);
}

VmName Wakes::homeFor(const SiteTarget& where, const Waiting& waiting) const
{
    const std::string key = wire::targetText(toWire(where.target));
    for (const VmName& vm :
        policy::rendezvousOrder(key, context_.directory.homes(where.site, context_.homesPerSite()))) {
        if (!waiting.failedHomes.contains(vm))
            return vm;
    }
    return context_.ownVm;
}

std::set<RequestNumber> Wakes::requestNumbers(const Waiting& waiting) const
{
    std::set<RequestNumber> requestNumbers;
    for (const auto& [number, request] : waiting.requests)
        requestNumbers.insert(number);
    return requestNumbers;
}

} // namespace lagoon::router
