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

/// Identifies a request within this process.
using RequestNumber = framework::StrongType<struct RequestNumberTag, std::uint64_t>;

struct WaitingRequest {
    framework::Deadline deadline;
    std::uint8_t priority = 0;
};

/// Tracks the requests that wait for a target and sends wakes for them: one per second and target, to the first router
/// in rendezvous order that answers. Control thread only.
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
        /// Returns the maximum number of routers per site that act as homes.
        std::function<std::size_t()> homesPerSite;
        std::function<framework::BundleVersion()> bundleVersion;
        /// Called when agents serve the target, so that its waiting requests can be dispatched.
        std::function<void(const SiteTarget&, const std::vector<framework::VmName>&, const std::set<RequestNumber>&)>
            onPlaced;
        /// Called when the home reports that no replica is available. It decided by the bundle of
        /// version `homeVersion`.
        std::function<void(
            const framework::Error&, framework::BundleVersion homeVersion, const std::set<RequestNumber>&)>
            onRefused;
        /// Called with a progress report of the home: the load won't end before `soonestAt`.
        std::function<void(const WakeReply&, const std::set<RequestNumber>&)> onForecast;
    };

    explicit Wakes(const Context&);

    void startWaiting(const SiteTarget&, RequestNumber, const WaitingRequest&, std::uint32_t desiredReplicas);
    void stopWaiting(const SiteTarget&, RequestNumber);
    /// Requests another replica although no request waits. Sends at most one wake per second and target.
    void requestScaleUp(const SiteTarget&, std::uint32_t desiredReplicas, framework::Deadline usefulUntil);
    /// Returns the last progress report of the target's home; std::nullopt if no load is known to be in progress.
    std::optional<WakeReply> progress(const SiteTarget&) const;
    std::size_t waiting() const { return waiting_; }

private:
    struct Waiting {
        std::map<RequestNumber, WaitingRequest> requests;
        std::uint32_t desiredReplicas = 1;
        framework::Deadline usefulUntil;
        /// Whether more replicas were requested since the last wake.
        bool isScaleUpRequested = false;
        /// Last progress report of the home, while the load is in progress.
        std::optional<WakeReply> progress;
        /// Homes that failed or didn't answer, each with the time until which it is excluded from selection.
        std::map<framework::VmName, framework::Deadline> failedHomes;
        /// The home that the last wake was sent to, and whether it has replied since.
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
