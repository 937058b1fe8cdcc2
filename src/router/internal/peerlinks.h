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

/// Wakes sent to other routers that are homes. A wake is only ever a hint, so a lost link is answered with an error and
/// the caller asks the next router. Control thread only.
class PeerLinks : public std::enable_shared_from_this<PeerLinks> {
public:
    PeerLinks(const SessionContext&, const VmDirectory&);

    /// The handler gets the home's replies, or an error in a final one with `LinkLost`.
    void wake(const framework::VmName& home, const WakeOrder&, WakeReplyHandler);
    /// The home is silent: its link is given up, and the next wake opens another.
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
