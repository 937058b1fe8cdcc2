#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/types/ids.h"
#include "router/internal/home.h"
#include "router/internal/peerlinks.h"
#include "router/types/wake.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>

namespace lagoon::router {

/// Names a request within this process.
using RequestNumber = framework::StrongType<struct RequestNumberTag, std::uint64_t>;

struct WaitingRequest {
    framework::Deadline deadline;
    std::uint8_t priority = 0;
};

/// The requests that wait for a target, and the wakes sent for them: one each second per target, to the first router in
/// rendezvous order that answers. Control thread only.
class Wakes {
public:
    struct Context {
        framework::VmName ownVm;
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        const VmDirectory& directory;
        Home& home;
        PeerLinks& peers;
        /// Routers of one site that do the home duty, at most.
        std::function<std::size_t()> homesPerSite;
        std::function<framework::BundleVersion()> bundleVersion;
        /// The target is served at these agents; its waiting requests may go.
        std::function<void(const SiteTarget&, const std::vector<framework::VmName>&, const std::set<RequestNumber>&)>
            onPlaced;
        /// No replica to be had now.
        std::function<void(const framework::Error&, framework::BundleVersion home, const std::set<RequestNumber>&)>
            onRefused;
        /// The load won't end before `soonestAt`.
        std::function<void(const WakeReply&, const std::set<RequestNumber>&)> onForecast;
    };

    explicit Wakes(const Context&);

    void wait(const SiteTarget&, RequestNumber, const WaitingRequest&, std::uint32_t desiredReplicas);
    void stopWaiting(const SiteTarget&, RequestNumber);
    /// Asks for another replica although nothing waits; at most once a second per target.
    void requestScaleUp(const SiteTarget&, std::uint32_t desiredReplicas, framework::Deadline usefulUntil);
    /// What the target's home last said of the load that goes on.
    std::optional<WakeReply> progress(const SiteTarget&) const;
    std::size_t waiting() const { return waiting_; }

private:
    struct Waiting {
        std::map<RequestNumber, WaitingRequest> requests;
        std::uint32_t desiredReplicas = 1;
        framework::Deadline usefulUntil;
        /// Asked for more replicas since the last wake.
        bool isScaleUpRequested = false;
        /// What the home last said, while the load goes on.
        std::optional<WakeReply> progress;
        /// Homes that didn't answer, each until it is tried again.
        std::map<framework::VmName, framework::Deadline> failedHomes;
        /// That the last wake went to, and whether it said anything since.
        framework::VmName home;
        bool hasHomeAnswered = false;
        std::unique_ptr<framework::Timer> timer;
    };

    void send(const SiteTarget&);
    void sendNext(const SiteTarget&);
    void avoidSilentHome(Waiting&);
    void handleReply(const SiteTarget&, const framework::VmName& home, const WakeReply&);
    framework::VmName homeFor(const SiteTarget&, const Waiting&) const;
    std::set<RequestNumber> requestNumbers(const Waiting&) const;

    Context context_;
    std::map<SiteTarget, Waiting> targets_;
    std::size_t waiting_ = 0;
};

} // namespace lagoon::router
