#include "agent/internal/routerlinks.h"

#include "wire/types/message.h"

#include <limits>
#include <utility>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
namespace fb = wire::fb;

/// Routers ping while requests are in progress, and otherwise need no link.
constexpr Milliseconds linkIdleTimeout { 300000 };

ReplicaId replicaOf(const fb::TargetT& target)
{
    return { framework::ModelName(target.model), framework::AdapterName(target.adapter) };
}

std::uint32_t wireMilliseconds(Milliseconds duration)
{
    const auto maxValue = static_cast<std::int64_t>(std::numeric_limits<std::uint32_t>::max());
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(duration.count(), 0, maxValue));
}

fb::LoadResultT loadResult(std::uint64_t correlation, const std::optional<Error>& error)
{
    fb::LoadResultT result;
    result.correlation = correlation;
    result.is_loaded = !error;
    if (!error)
        return result;
    result.code = static_cast<std::uint8_t>(error->code);
    result.step = error->step;
    result.peer = error->peer;
    result.detail = error->detail;
    result.retry_after_ms = wireMilliseconds(error->retryAfter.value_or(Milliseconds(0)));
    return result;
}

Error notAnEngine() { return Error { ErrorCode::UnknownModel, "load", "", "this upstream is a plain service" }; }

/// Refusal of a load that its home decided on by a newer bundle, which this agent has yet to read. By its older bundle
/// the agent would refuse what the newer one allows.
Error bundleNotReadYet()
{
    constexpr Milliseconds retryWhenRead { 500 };
    Error error { ErrorCode::NotReady, "load", "", "a newer bundle isn't read yet" };
    error.retryAfter = retryWhenRead;
    return error;
}

} // namespace

RouterLinks::RouterLinks(const Context& context)
    : context_(context)
{
}

wire::LinkHandlers RouterLinks::handlers()
{
    wire::LinkHandlers handlers;
    handlers.onMessage = [this](const LinkPointer& link, wire::Message message) {
        context_.control.post(
            [this, link, message = std::make_shared<wire::Message>(std::move(message))] { handle(link, *message); });
    };
    handlers.onClosed
        = [this](const LinkPointer& link, const Error&) { context_.control.post([this, link] { forget(link); }); };
    return handlers;
}

void RouterLinks::handle(const LinkPointer& link, wire::Message& message)
{
    if (const fb::HelloT* hello = message.body.AsHello())
        return handleHello(link, *hello);
    const auto found = peers_.find(link);
    if (found == peers_.end())
        return refuseFrame(link);
    found->second.closeAt = Deadline::after(context_.clock.now(), linkIdleTimeout);
    const Peer peer = found->second;
    switch (message.body.type) {
    case fb::Body::Dispatch:
        context_.bundles.observeVersion(framework::BundleVersion(message.body.AsDispatch()->bundle_version));
        return context_.gate.dispatch(link, std::move(*message.body.AsDispatch()));
    case fb::Body::Cancel:
        return context_.gate.cancel(*message.body.AsCancel());
    case fb::Body::Resolve:
        return context_.gate.resolve(link, *message.body.AsResolve());
    case fb::Body::Settle:
        return context_.gate.settle(peer.incarnation, message.body.AsSettle()->session,
            framework::SequenceNumber(message.body.AsSettle()->floor));
    case fb::Body::Ping:
        return handlePing(link, peer, *message.body.AsPing());
    case fb::Body::CrashEvidence:
        return context_.crashes.receive(*message.body.AsCrashEvidence());
    case fb::Body::BidRequest:
        return handleBidRequest(link, *message.body.AsBidRequest());
    case fb::Body::Load:
        return load(link, *message.body.AsLoad());
    default:
        refuseFrame(link);
    }
}

void RouterLinks::handleHello(const LinkPointer& link, const fb::HelloT& hello)
{
    forget(link);
    const framework::Incarnation router(hello.sender_incarnation);
    Peer& peer = peers_[link];
    peer.incarnation = router;
    peer.session = context_.gate.openSession(router);
    peer.closeAt = Deadline::after(context_.clock.now(), linkIdleTimeout);
    peer.takesEvidence = hello.takes_evidence;
    context_.gate.linkOpened(router);
    context_.bundles.observeVersion(framework::BundleVersion(hello.bundle_version));
    fb::HelloAckT answer;
    answer.receiver_vm = context_.ownVm.value();
    answer.receiver_incarnation = context_.ownIncarnation.value();
    answer.session = peer.session;
    answer.bundle_version = bundleVersion();
    answer.takes_evidence = true;
    link->send(wire::message(std::move(answer)));
    if (!peer.takesEvidence)
        return;
    for (const wire::Message& evidence : context_.crashes.everything())
        link->send(evidence);
}

void RouterLinks::sendEvidence(const wire::Message& message)
{
    for (const auto& [link, peer] : peers_) {
        if (peer.takesEvidence)
            link->send(message);
    }
}

void RouterLinks::handlePing(const LinkPointer& link, const Peer& peer, const fb::PingT& ping)
{
    context_.bundles.observeVersion(framework::BundleVersion(ping.bundle_version));
    context_.gate.settle(peer.incarnation, peer.session, framework::SequenceNumber(ping.floor));
    fb::PongT pong;
    pong.nonce = ping.nonce;
    pong.bundle_version = bundleVersion();
    pong.running = context_.gate.running();
    pong.waiting = context_.gate.waiting();
    link->send(wire::message(pong));
}

void RouterLinks::handleBidRequest(const LinkPointer& link, const fb::BidRequestT& request)
{
    LoadOffer offer;
    offer.refusal = notAnEngine();
    context_.bundles.observeVersion(framework::BundleVersion(request.bundle_version));
    if (request.bundle_version > bundleVersion())
        offer.refusal = bundleNotReadYet();
    else if (context_.replicas)
        offer = context_.replicas->offer(replicaOf(*request.target));
    fb::BidT bid;
    bid.correlation = request.correlation;
    bid.is_loaded = offer.isLoaded;
    bid.is_loading = offer.isLoading;
    bid.can_load = !offer.refusal;
    if (offer.refusal)
        bid.refusal = static_cast<std::uint8_t>(offer.refusal->code);
    bid.free_mib = offer.available.value();
    bid.evict_mib = offer.evicted.value();
    bid.victim_idle_ms = static_cast<std::uint64_t>(offer.victimIdle.count());
    bid.checkpoint = static_cast<std::uint8_t>(offer.checkpoint);
    bid.expected_load_ms = wireMilliseconds(offer.expectedLoad);
    bid.bundle_version = bundleVersion();
    bid.running = context_.gate.running();
    bid.waiting = context_.gate.waiting();
    link->send(wire::message(bid));
}

void RouterLinks::load(const LinkPointer& link, const fb::LoadT& order)
{
    context_.bundles.observeVersion(framework::BundleVersion(order.bundle_version));
    const std::uint64_t correlation = order.correlation;
    const auto answer = [link, correlation](const std::optional<Error>& error) {
        link->send(wire::message(loadResult(correlation, error)));
    };
    if (!context_.replicas)
        return answer(notAnEngine());
    if (order.bundle_version > bundleVersion())
        return answer(bundleNotReadYet());
    const Deadline deadline = Deadline::after(context_.clock.now(), Milliseconds(order.remaining_ms));
    context_.replicas->load(replicaOf(*order.target), deadline, answer);
}

void RouterLinks::refuseFrame(const LinkPointer& link)
{
    context_.metrics->count("lagoon_bad_frames_total", { { "reason", "unexpected" } });
    forget(link);
    link->close();
}

void RouterLinks::forget(const LinkPointer& link)
{
    const auto peer = peers_.find(link);
    if (peer == peers_.end())
        return;
    context_.gate.linkClosed(peer->second.incarnation);
    peers_.erase(peer);
}

void RouterLinks::closeIdle()
{
    std::vector<LinkPointer> silent;
    for (const auto& [link, peer] : peers_) {
        if (peer.closeAt.hasPassed(context_.clock.now()))
            silent.push_back(link);
    }
    for (const LinkPointer& link : silent) {
        forget(link);
        link->close();
    }
}

std::uint64_t RouterLinks::bundleVersion() const
{
    const bundle::BundlePointer current = context_.bundles.current();
    return current ? current->version.value() : 0;
}

} // namespace lagoon::agent
