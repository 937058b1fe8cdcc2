#pragma once

#include "bundle/types/bundle.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "policy/iloadplacement.h"
#include "router/internal/agentsessions.h"
#include "router/internal/loadgate.h"
#include "router/internal/placementcache.h"
#include "router/internal/vmdirectory.h"
#include "router/types/wake.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoon::router {

/// Contents of the platform's replica object of a target.
struct TargetHolders {
    std::vector<framework::VmName> vms;
    /// Version of the newest bundle that set its replica counts.
    framework::BundleVersion bundleVersion;
};

/// Called on the control thread.
using HoldersHandler = std::function<void(const framework::Result<TargetHolders>&)>;
using FindHolders = std::function<void(const SiteTarget&, HoldersHandler)>;

/// Coordinates the loads of the targets that rendezvous hashing assigns to this router: collects the wakes of all
/// routers, finds the agents that serve the target or chooses one to load it, and replies. Has no persistent state: if
/// two routers act as home of a target at once, the cost is a second round of bids, and the claims in the platform keep
/// the replicas within the decided count. Control thread only.
class Home {
public:
    struct Context {
        framework::SiteName site;
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        const DispatchSettings& settings;
        AgentSessions& sessions;
        const VmDirectory& directory;
        const PlacementCache& placements;
        LoadGate& gate;
        std::function<bundle::BundlePointer()> bundle;
        std::function<void(framework::BundleVersion)> observeVersion;
        FindHolders findHolders;
    };

    explicit Home(const Context&);

    /// `sender` is the requesting router. Its newer wake replaces the reply handler of its older one.
    void wake(const framework::VmName& sender, const WakeOrder&, WakeReplyHandler);
    void setLoadPlacement(std::unique_ptr<policy::ILoadPlacement>);

private:
    struct Candidate {
        framework::VmName vm;
        bool hasAnswered = false;
        bool isLoaded = false;
        bool isLoading = false;
        policy::LoadBid bid;
    };
    /// The search for replicas of one target, from the first wake to the final reply.
    struct Search {
        std::uint64_t number = 0;
        WakeOrder order;
        std::map<framework::VmName, WakeReplyHandler> replies;
        /// Agents that were asked for bids so far, in the order in which they were asked.
        std::vector<Candidate> candidates;
        std::set<framework::VmName> asked;
        std::size_t pendingBids = 0;
        std::unique_ptr<framework::Timer> bidTimer;
        /// Deadline for retries while upstreams aren't ready or a newer bundle is awaited; set by the first of them.
        std::optional<framework::Deadline> retryDeadline;
        bool isLoading = false;
        bool hasQueriedHolders = false;
        std::uint32_t loadAttempts = 0;
        std::optional<framework::Error> lastError;
        /// Version of a bundle that a peer or the target's replica counts refer to and that this router doesn't have
        /// yet; 0 if there is none.
        framework::BundleVersion awaitedBundle;
        /// VMs whose agents are expected to come back: their link was lost during a load, or they weren't ready for it.
        std::set<framework::VmName> expectsRestart;
    };
    using Searches = std::map<SiteTarget, Search>;

    void begin(Search&);
    std::vector<framework::VmName> nextCandidates(const Search&) const;
    void requestBids(const SiteTarget&, const std::vector<framework::VmName>&);
    bool awaitBundle(const SiteTarget&);
    framework::BundleVersion newerBundle(framework::BundleVersion) const;
    framework::BundleVersion bundleVersion() const;
    bool retryNotReady(const SiteTarget&);
    void retryLater(const SiteTarget&, std::function<void()>);
    bool mayRetry(Search&);
    void handleBid(
        const SiteTarget&, std::uint64_t number, const framework::VmName&, const framework::Result<wire::fb::BidT>&);
    void endBidding(const SiteTarget&);
    void evaluate(const SiteTarget&);
    Candidate* chooseLoader(Search&) const;
    framework::Error mostSpecificRefusal(const Search&) const;
    void load(const SiteTarget&, Candidate&);
    void sendLoad(const SiteTarget&, std::uint64_t number, const framework::VmName&);
    WakeReply progress(const Search&) const;
    static void expectRestart(Search&, const framework::VmName&);
    void handleLoadResult(const SiteTarget&, std::uint64_t number, const framework::VmName&,
        const framework::Result<wire::fb::LoadResultT>&);
    void queryHolders(const SiteTarget&);
    void replyAll(Search&, const WakeReply&);
    void finish(const SiteTarget&, const WakeReply&);
    void fail(const SiteTarget&, const framework::Error&);
    std::vector<framework::VmName> loadedVms(const Search&) const;
    std::uint32_t replicaCap(const SiteTarget&) const;
    Search* find(const SiteTarget&, std::uint64_t number);

    Context context_;
    std::unique_ptr<policy::ILoadPlacement> placement_;
    Searches searches_;
    std::uint64_t nextNumber_ = 1;
};

} // namespace lagoon::router
