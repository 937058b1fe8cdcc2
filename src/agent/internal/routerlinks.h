#pragma once

#include "agent/internal/replicacontroller.h"
#include "agent/internal/requestgate.h"
#include "bundle/ibundlewatch.h"
#include "wire/ilink.h"

#include <map>
#include <memory>

namespace lagoon::agent {

/// Takes the frames of routers' links to the parts they are for. Control thread only, but for `handlers`.
class RouterLinks {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::VmName ownVm;
        framework::Incarnation ownIncarnation;
        RequestGate& gate;
        /// Null for a plain service, which has no replicas.
        ReplicaController* replicas;
        bundle::IBundleWatch& bundles;
        std::shared_ptr<framework::Metrics> metrics;
    };

    explicit RouterLinks(const Context&);

    /// For the transport's `listen`.
    wire::LinkHandlers handlers();
    /// Closes links over which nothing has come for long: their peers are gone, or open another when they need one.
    void closeIdle();

private:
    using LinkPointer = std::shared_ptr<wire::ILink>;

    struct Peer {
        framework::Incarnation incarnation;
        std::uint64_t session = 0;
        framework::Deadline closeAt;
    };

    void handle(const LinkPointer&, wire::Message&);
    void handleHello(const LinkPointer&, const wire::fb::HelloT&);
    void handlePing(const LinkPointer&, const Peer&, const wire::fb::PingT&);
    void handleBidRequest(const LinkPointer&, const wire::fb::BidRequestT&);
    void load(const LinkPointer&, const wire::fb::LoadT&);
    void refuseFrame(const LinkPointer&);
    void forget(const LinkPointer&);
    std::uint64_t bundleVersion() const;

    Context context_;
    std::map<LinkPointer, Peer> peers_;
};

} // namespace lagoon::agent
