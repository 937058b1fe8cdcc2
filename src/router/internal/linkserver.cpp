#include "router/internal/linkserver.h"

#include "router/internal/targets.h"

#include <algorithm>

namespace lagoon::router {

using framework::BundleVersion;
using framework::Deadline;
using framework::Milliseconds;

namespace {

wire::fb::WakeResultT toWire(const WakeReply& reply, const wire::fb::WakeT& wake, framework::SteadyTime now)
{
    wire::fb::WakeResultT result;
    result.correlation = wake.correlation;
    result.target = std::make_unique<wire::fb::TargetT>(*wake.target);
    result.is_final = reply.isFinal;
    result.bundle_version = reply.bundleVersion.value();
    for (const framework::VmName& vm : reply.placements) {
        auto placement = std::make_unique<wire::fb::PlacementT>();
        placement->vm = vm.value();
        result.placements.push_back(std::move(placement));
    }
    // 0 means unknown on the wire.
    if (reply.soonestAt)
        result.expected_ms
            = static_cast<std::uint32_t>(std::max<std::int64_t>(1, reply.soonestAt->remaining(now).count()));
    result.retry_after_ms = static_cast<std::uint32_t>(reply.retryAfter.value_or(Milliseconds(0)).count());
    if (reply.error) {
        result.code = static_cast<std::uint8_t>(reply.error->code);
        result.step = reply.error->step;
        result.peer = reply.error->peer;
        result.detail = reply.error->detail;
        result.retry_after_ms = static_cast<std::uint32_t>(reply.error->retryAfter.value_or(Milliseconds(0)).count());
    }
    return result;
}

} // namespace

LinkServer::LinkServer(const Context& context)
    : context_(context)
{
}

framework::Result<framework::Endpoint> LinkServer::start(
    wire::ILinkTransport& transport, const framework::Endpoint& endpoint)
{
    wire::LinkHandlers handlers;
    handlers.onMessage = [this](const LinkPointer& link, wire::Message message) {
        context_.control.post(
            [this, link, message = std::make_shared<wire::Message>(std::move(message))] { handle(link, *message); });
    };
    handlers.onClosed = [this](const LinkPointer& link, const framework::Error&) {
        context_.control.post([this, link] { senders_.erase(link); });
    };
    return transport.listen(endpoint, std::move(handlers));
}

void LinkServer::handle(const LinkPointer& link, const wire::Message& message)
{
    if (const wire::fb::HelloT* hello = message.body.AsHello())
        return handleHello(link, *hello);
    if (const wire::fb::WakeT* order = message.body.AsWake(); order && senders_.contains(link))
        return wake(link, *order);
    if (const wire::fb::PingT* ping = message.body.AsPing()) {
        wire::fb::PongT pong;
        pong.nonce = ping->nonce;
        pong.bundle_version = context_.bundleVersion().value();
        return link->send(wire::message(pong));
    }
    context_.metrics.count("lagoon_bad_frames_total", { { "reason", "unexpected" } });
    senders_.erase(link);
    link->close();
}

void LinkServer::handleHello(const LinkPointer& link, const wire::fb::HelloT& hello)
{
    senders_[link] = framework::VmName(hello.sender_vm);
    context_.observeVersion(BundleVersion(hello.bundle_version));
    wire::fb::HelloAckT answer;
    answer.receiver_vm = context_.ownVm.value();
    answer.receiver_incarnation = context_.ownIncarnation.value();
    answer.bundle_version = context_.bundleVersion().value();
    link->send(wire::message(std::move(answer)));
}

void LinkServer::wake(const LinkPointer& link, const wire::fb::WakeT& wake)
{
    context_.observeVersion(BundleVersion(wake.bundle_version));
    const auto now = context_.clock.now();
    WakeOrder order;
    order.where = SiteTarget { fromWire(*wake.target), framework::SiteName(wake.site) };
    order.waiters = wake.waiters;
    order.earliest = Deadline::after(now, Milliseconds(wake.earliest_remaining_ms));
    order.latest = Deadline::after(now, Milliseconds(wake.latest_remaining_ms));
    order.desiredReplicas = wake.wanted_replicas;
    order.priority = wake.priority;
    order.bundleVersion = BundleVersion(wake.bundle_version);
    // Acknowledges the wake at once: the sender considers a home dead if it receives nothing for one second.
    link->send(wire::message(toWire(WakeReply {}, wake, now)));
    context_.home.wake(senders_.at(link), order,
        [this, link, request = std::make_shared<wire::fb::WakeT>(wake)](
            const WakeReply& reply) { link->send(wire::message(toWire(reply, *request, context_.clock.now()))); });
}

} // namespace lagoon::router
