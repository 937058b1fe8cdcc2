#pragma once

#include "framework/controlthread.h"
#include "framework/metrics.h"
#include "router/internal/agentsession.h"
#include "router/internal/vmdirectory.h"
#include "router/types/wake.h"
#include "wire/ilink.h"

#include <map>
#include <memory>

namespace lagoon::router {

/// Sends wakes to the routers that are homes. A wake is only a hint, so nothing is resent: if a link is lost, its wakes
/// fail with an error and `Wakes` tries the next router. Control thread only.
class PeerLinks : public std::enable_shared_from_this<PeerLinks> {
public:
    PeerLinks(const SessionContext&, const VmDirectory&);

    /// The handler receives the home's replies, or a final reply with the error `LinkLost` if the link is lost.
    void wake(const framework::VmName& home, const WakeOrder&, WakeReplyHandler);
    /// Closes the link to a home that doesn't respond. The next wake opens a new link.
    void drop(const framework::VmName& home);
    void closeAll();

private:
    struct Peer {
        framework::Endpoint endpoint;
        std::shared_ptr<wire::ILink> link;
        std::map<std::uint64_t, WakeReplyHandler> pending;
    };

    Peer* connectedPeer(const framework::VmName&);
    void receive(const framework::VmName&, const wire::Message&);
    void handleLinkLost(const framework::VmName&, const framework::Error&);

    SessionContext context_;
    const VmDirectory& directory_;
    std::map<framework::VmName, Peer> peers_;
    std::uint64_t nextCorrelation_ = 1;
};

} // namespace lagoon::router
