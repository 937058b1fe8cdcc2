#pragma once

#include "agent/imodelengine.h"
#include "agent/internal/idlegaphistory.h"
#include "agent/internal/memoryaccount.h"
#include "agent/internal/replica.h"
#include "agent/ireplicaclaims.h"
#include "agent/iservedtargets.h"
#include "bundle/types/bundle.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "policy/ikeepwarm.h"
#include "policy/loadtimeestimator.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::agent {

/// Runs blocking work on another thread.
using WorkRunner = std::function<void(std::function<void()>)>;

struct ReplicaSettings {
    framework::SiteName site;
    framework::PoolName pool;
    bool checksFencing = false;
    framework::Milliseconds settling { 10000 };
};

/// Dependencies of a ReplicaController.
struct ReplicaPorts {
    framework::IControlExecutor& control;
    const framework::IClock& clock;
    WorkRunner platformWork;
    WorkRunner engineWork;
    std::shared_ptr<IReplicaClaims> claims;
    std::shared_ptr<IModelEngine> engine;
    std::shared_ptr<framework::Metrics> metrics;
    /// Called when the engine's process has restarted.
    std::function<void()> didRestartEngine = [] {};
    /// Whether the engine has said that it finishes its requests and ends soon.
    std::function<bool()> isEngineLeaving = [] { return false; };
};

/// Whether a replica can be loaded on this VM, and what the load would cost.
struct LoadOffer {
    bool isLoaded = false;
    bool isLoading = false;
    /// Why the replica can't be loaded; std::nullopt if it can.
    std::optional<framework::Error> refusal;
    framework::MebiBytes available;
    /// Memory of the replicas that would be evicted for the load.
    framework::MebiBytes evicted;
    /// How long the most recently used of these replicas has been idle; 0 if none would be evicted.
    framework::Milliseconds victimIdle { 0 };
    policy::CheckpointLocation checkpoint = policy::CheckpointLocation::Remote;
    framework::Milliseconds expectedLoad { 0 };
};

/// Controls all replicas of one engine: which are loaded and unloaded, and when their claims and memory are taken and
/// freed. Control thread only; each event triggers one pass over the replicas (`advance`).
///
/// The replica cap and the memory limit hold because of a fixed sequence. Loading: claim, then memory, then the load
/// order. Unloading: the engine's confirmation, then memory, then the claim. Nothing is ordered before both the
/// engine's state and the platform's claims have been read.
class ReplicaController final : public IServedTargets {
public:
    ReplicaController(ReplicaPorts, ReplicaSettings);

    /// Starts reading the engine's state and this VM's claims.
    void start();
    void setBundle(bundle::BundlePointer);
    /// From now on nothing is loaded or unloaded, and callers that wait for a load are refused. Claims are kept: the
    /// engine still has the models, and the next agent on this VM adopts them.
    void beginDraining();

    void load(const ReplicaId&, framework::Deadline, LoadDone);
    LoadOffer offer(const ReplicaId&) const;

    framework::Result<void> beginUse(const Target&, framework::SteadyTime now) override;
    void endUse(const Target&, framework::SteadyTime now) override;

    /// Whether both the engine's state and the platform's claims have been read.
    bool isInitialized() const { return hasEngineState_ && hasReadClaims_; }
    const std::map<ReplicaId, Replica>& replicas() const { return replicas_; }
    const MemoryAccount& memory() const { return account_; }

private:
    /// Number of consecutive failed state calls after which the engine counts as unreachable.
    static constexpr std::uint32_t failuresUntilUnreachable = 3;

    struct Weights {
        framework::WeightsVersion version;
        framework::MebiBytes memory;
    };

    // Decisions (replicacontroller.cpp).
    void advance();
    void step(Replica&, framework::SteadyTime now);
    void stepLoaded(Replica&);
    void admitWaitingLoads(framework::SteadyTime now);
    bool tryAdmitLoad(Replica&, framework::SteadyTime now);
    void unloadIdle(framework::SteadyTime now);
    void expireWaiters(framework::SteadyTime now);
    void drainIfOutdated(Replica&);
    void drain(Replica&, const std::string& reason);
    void drainAdapters(const framework::ModelName&, const std::string& reason);
    void failLoad(Replica&, const framework::Error&);
    void startReleasing(Replica&);
    void handleLoaded(Replica&, framework::SteadyTime now);
    void handleUnloaded(Replica&);
    void setStage(Replica&, ReplicaStage);
    Replica& add(const ReplicaId&, const Weights&, ReplicaStage);
    void addPendingModel(const ReplicaId&);

    // The engine's state (replicaobservation.cpp).
    void pollEngine();
    void observe(const EngineState&, framework::SteadyTime requestedAt);
    void handleEngineRestart();
    void observePresent(const EngineReplica&);
    Replica& adopt(Replica* known, const EngineReplica&);
    void handleReportedLoaded(Replica&, const EngineReplica&);
    void observeAbsent(Replica&, framework::SteadyTime requestedAt);

    // Calls to the platform and the engine (replicaoperations.cpp).
    void readClaims();
    void handleClaims(const std::vector<ReplicaId>&);
    void startClaim(Replica&, ClaimKind);
    void startConfirm(Replica&);
    void startCountCheck(Replica&);
    void startRelease(Replica&);
    void startLoadOrder(Replica&);
    void startUnloadOrder(Replica&);
    void handleLoadAnswer(Replica&, const framework::Result<void>&, framework::SteadyTime sentAt);
    void handleUnloadAnswer(Replica&, const framework::Result<void>&);
    void retryLater(Replica&, const std::string& reason);
    template <typename Value>
    void callPlatform(Replica&, std::function<framework::Result<Value>()>,
        std::function<void(Replica&, const framework::Result<Value>&)>);
    void callEngine(Replica&, std::function<framework::Result<void>()>,
        std::function<void(Replica&, const framework::Result<void>&)>);
    void finishCall(const ReplicaId&, const std::function<void(Replica&)>&);

    // Queries (replicaqueries.cpp).
    Replica* find(const ReplicaId&);
    const Replica* find(const ReplicaId&) const;
    std::optional<Weights> weightsOf(const ReplicaId&) const;
    bundle::DecidedCount decidedCount(const ReplicaId&) const;
    std::optional<framework::Error> refusalOf(const ReplicaId&, framework::Deadline) const;
    std::optional<framework::Error> memoryRefusal(const ReplicaId&) const;
    std::uint64_t memoryNeeded(const ReplicaId&) const;
    std::uint64_t memoryBeingFreed() const;
    std::vector<ReplicaId> victims(framework::MebiBytes needed, const ReplicaId& incoming) const;
    policy::LoadedReplica viewOf(const Replica&) const;
    std::vector<policy::LoadedReplica> loadedViews(framework::SteadyTime now) const;
    bool mayExpire(const Replica&, framework::SteadyTime now) const;
    bool hasAdapters(const framework::ModelName&) const;
    bool hasRequiredModel(const ReplicaId&) const;
    bool hasAdaptersInTransition(const framework::ModelName&) const;
    framework::Milliseconds expectedReloadTime(const Replica&) const;
    policy::CheckpointLocation locationOf(const ReplicaId&) const;
    policy::LoadTimeEstimate expectedLoad(const ReplicaId&) const;
    bool isInTransition() const;
    bool isRequested(const Replica&) const;
    EngineOrder orderFor(const Replica&) const;

    void publishMetrics(framework::SteadyTime now);

    ReplicaPorts ports_;
    ReplicaSettings settings_;
    bundle::BundlePointer bundle_;
    std::unique_ptr<policy::IKeepWarm> keepWarm_;
    std::map<ReplicaId, Replica> replicas_;
    MemoryAccount account_;
    policy::LoadTimeEstimator loadTimes_;
    IdleGapHistory gaps_;
    EngineState engineState_;
    bool hasEngineState_ = false;
    std::uint32_t engineFailures_ = 0;
    bool hasReadClaims_ = false;
    bool isPolling_ = false;
    bool isPollingFast_ = false;
    bool isDraining_ = false;
    framework::SteadyTime publishedAt_ {};
    std::unique_ptr<framework::Timer> pollTimer_;
    std::unique_ptr<framework::Timer> claimsTimer_;
};

} // namespace lagoon::agent
