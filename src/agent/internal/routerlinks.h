#pragma once

#include "agent/internal/replicacontroller.h"
#include "agent/internal/requestgate.h"
#include "bundle/ibundlewatch.h"
#include "wire/ilink.h"

#include <map>
#include <memory>

namespace lagoon::agent {

/// Passes frames from the routers' links to the components that handle them. Control thread only, except `handlers`.
class RouterLinks {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::VmName ownVm;
        framework::Incarnation ownIncarnation;
        RequestGate& gate;
        /// Null if the upstream is a plain service, which has no replicas.
        ReplicaController* replicas;
        bundle::IBundleWatch& bundles;
        std::shared_ptr<framework::Metrics> metrics;
        UpstreamCrashes& crashes;
    };

    explicit RouterLinks(const Context&);

    /// Callbacks to pass to the transport's `listen`.
    wire::LinkHandlers handlers();
    /// Closes links over which no frame has arrived for a long time: their routers are gone, or open another link when
    /// they need one.
    void closeIdle();
    /// Sends evidence to all routers that understand it.
    void sendEvidence(const wire::Message&);

private:
    using LinkPointer = std::shared_ptr<wire::ILink>;

    struct Peer {
        framework::Incarnation incarnation;
        std::uint64_t session = 0;
        framework::Deadline closeAt;
        bool takesEvidence = false;
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
