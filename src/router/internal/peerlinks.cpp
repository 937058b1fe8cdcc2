#include "router/internal/peerlinks.h"

#include "router/internal/targets.h"

#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::VmName;

namespace {

WakeReply toReply(const wire::fb::WakeResultT& result, framework::SteadyTime now)
{
    WakeReply reply;
    reply.isFinal = result.is_final;
    reply.bundleVersion = framework::BundleVersion(result.bundle_version);
    for (const auto& placement : result.placements) {
        if (placement)
            reply.placements.emplace_back(placement->vm);
    }
    if (result.expected_ms > 0)
        reply.soonestAt = Deadline::after(now, Milliseconds(result.expected_ms));
    if (result.retry_after_ms > 0)
        reply.retryAfter = Milliseconds(result.retry_after_ms);
    if (result.is_final && reply.placements.empty()) {
        reply.error = Error { static_cast<ErrorCode>(result.code), result.step, result.peer, result.detail };
        if (result.retry_after_ms > 0)
            reply.error->retryAfter = Milliseconds(result.retry_after_ms);
    }
    return reply;
}

WakeReply homeUnreachable(const VmName& home, const std::string& detail)
{
    WakeReply reply;
    reply.isFinal = true;
    reply.error = Error { ErrorCode::LinkLost, "wake", home.value(), detail };
    return reply;
}

} // namespace

PeerLinks::PeerLinks(const SessionContext& context, const VmDirectory& directory)
    : context_(context)
    , directory_(directory)
{
}

void PeerLinks::wake(const VmName& home, const WakeOrder& order, WakeReplyHandler handler)
{
    Peer* peer = connectedPeer(home);
    if (!peer) {
        handler(homeUnreachable(home, "not in the list"));
        return;
    }
    const auto now = context_.clock.now();
    wire::fb::WakeT wake;
    wake.correlation = nextCorrelation_++;
    wake.target = std::make_unique<wire::fb::TargetT>(toWire(order.where.target));
    wake.site = order.where.site.value();
    wake.waiters = order.waiters;
    wake.earliest_remaining_ms = static_cast<std::uint32_t>(order.earliest.remaining(now).count());
    wake.latest_remaining_ms = static_cast<std::uint32_t>(order.latest.remaining(now).count());
    wake.wanted_replicas = order.desiredReplicas;
    wake.priority = order.priority;
    wake.bundle_version = context_.bundleVersion().value();
    peer->pending.emplace(wake.correlation, std::move(handler));
    peer->link->send(wire::message(std::move(wake)));
}

PeerLinks::Peer* PeerLinks::connectedPeer(const VmName& home)
{
    const objectstore::VmEntry* entry = directory_.find(home);
    if (!entry)
        return nullptr;
    Peer& peer = peers_[home];
    if (peer.link && peer.endpoint == entry->endpoint)
        return &peer;
    peer.endpoint = entry->endpoint;
    const std::weak_ptr<PeerLinks> weak = weak_from_this();
    const auto toControl = [weak, home, &control = context_.control](auto action) {
        control.post([weak, home, action] {
            if (const auto self = weak.lock())
                action(*self);
        });
    };
    wire::LinkHandlers handlers;
    handlers.onMessage = [toControl, home](const std::shared_ptr<wire::ILink>&, wire::Message message) {
        auto shared = std::make_shared<wire::Message>(std::move(message));
        toControl([home, shared](PeerLinks& self) { self.receive(home, *shared); });
    };
    handlers.onClosed = [toControl, home](const std::shared_ptr<wire::ILink>& link, const Error& why) {
        toControl([home, link, why](PeerLinks& self) {
            if (self.peers_[home].link == link)
                self.handleLinkLost(home, why);
        });
    };
    peer.link = context_.transport.connect(peer.endpoint, std::move(handlers));
    wire::fb::HelloT hello;
    hello.sender_vm = context_.ownVm.value();
    hello.sender_incarnation = context_.ownIncarnation.value();
    hello.bundle_version = context_.bundleVersion().value();
    peer.link->send(wire::message(std::move(hello)));
    return &peer;
}

void PeerLinks::receive(const VmName& home, const wire::Message& message)
{
    if (const wire::fb::HelloAckT* hello = message.body.AsHelloAck())
        context_.observeVersion(framework::BundleVersion(hello->bundle_version));
    const wire::fb::WakeResultT* result = message.body.AsWakeResult();
    if (!result)
        return;
    Peer& peer = peers_[home];
    const auto pending = peer.pending.find(result->correlation);
    if (pending == peer.pending.end())
        return;
    const WakeReplyHandler handler = pending->second;
    if (result->is_final)
        peer.pending.erase(pending);
    handler(toReply(*result, context_.clock.now()));
}

void PeerLinks::handleLinkLost(const VmName& home, const Error& why)
{
    context_.metrics.count("lagoon_links_lost_total", { { "step", "wake" } });
    Peer& peer = peers_[home];
    peer.link.reset();
    for (const auto& [correlation, handler] : std::exchange(peer.pending, {}))
        handler(homeUnreachable(home, why.detail));
}

void PeerLinks::drop(const VmName& home)
{
    const auto peer = peers_.find(home);
    if (peer == peers_.end())
        return;
    if (peer->second.link)
        peer->second.link->close();
    peers_.erase(peer);
}

void PeerLinks::closeAll()
{
    for (auto& [vm, peer] : peers_) {
        if (peer.link)
            peer.link->close();
    }
    peers_.clear();
}

} // namespace lagoon::router
