#pragma once

#include "policy/benchmarks/deployment.h"
#include "policy/benchmarks/eventqueue.h"
#include "policy/benchmarks/storemodel.h"
#include "policy/ikeepwarm.h"
#include "policy/iloadorder.h"
#include "policy/iloadplacement.h"
#include "policy/loadforecast.h"
#include "policy/loadtimeestimator.h"
#include "policy/weightstoreshare.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

namespace lagoon::policy::benchmarks {

/// A set of policies that is benchmarked.
struct PolicySet {
    std::string name;
    std::function<std::unique_ptr<ILoadPlacement>(const Deployment&)> placement;
    std::function<std::unique_ptr<IKeepWarm>(const Deployment&)> keepWarm;
    std::function<std::unique_ptr<ILoadOrder>(const Deployment&)> order;
    bool refusesHopeless = true;
    bool mayBorrow = false;
};

/// Reduces the weight store's bandwidth to `speed` times the usual between two points in time.
struct StoreSlowdown {
    framework::SteadyTime from {};
    framework::SteadyTime to {};
    double speed = 1;
};

struct Outcome {
    /// Waits of all requests that found no warm replica, in seconds. A refused request counts as the whole timeout.
    std::vector<double> coldWaits;
    std::size_t requests = 0;
    std::size_t served = 0;
    std::size_t servedHighPriority = 0;
    /// Requests that were refused because they couldn't be answered in time.
    std::size_t hopeless = 0;
    /// Requests that were refused at their deadlines.
    std::size_t expired = 0;
    std::size_t loads = 0;
    std::size_t remoteLoads = 0;
    std::size_t evictions = 0;
    std::size_t storeRefusals = 0;
    double idleAcceleratorHours = 0;
    /// Arrival times of the refused requests, which show how fast the system recovers.
    std::vector<framework::SteadyTime> refusedAt;
    /// Time from the arrival of each refused request to its refusal, in seconds.
    std::vector<double> refusalWaits;

    double totalColdSeconds() const;
    /// Percentile over all requests; a request that found a warm replica counts as a wait of 0.
    double waitPercentile(double percent) const;
    double coldPercentile(double percent) const;
    double refusalPercentile(double percent) const;
};

/// Simulates the days of one deployment in virtual time. Each target has one replica at most, as the replica cap
/// requires.
class LoadSimulation {
public:
    LoadSimulation(
        const Deployment&, const PolicySet&, const std::vector<Target>&, std::uint64_t seed, StoreSlowdown = {});
    Outcome run(const std::vector<TraceRequest>&);

private:
    enum class State : std::uint8_t { Loading, Loaded };

    struct Replica {
        std::size_t server = 0;
        State state = State::Loading;
        LoadedReplica view;
        framework::SteadyTime idleSince {};
    };

    /// An agent's record of the uses of a target.
    struct UseRecord {
        IdleGaps gaps;
        framework::SteadyTime lastEnd {};
    };

    struct Server {
        framework::VmName vm;
        std::set<std::size_t> targets;
        /// By target, including targets that aren't loaded now.
        std::map<std::size_t, UseRecord> uses;
        IdleGaps allGaps;
        /// Models by last use, most recently used first.
        std::deque<std::size_t> diskCache;
        std::deque<std::size_t> memoryCache;
    };

    /// Demand for the load of a target, at its home router.
    struct LoadDemand {
        PendingLoad pending;
        std::vector<const TraceRequest*> waiting;
        bool isStarted = false;
        framework::SteadyTime startedAt {};
        CheckpointLocation location = CheckpointLocation::Remote;
        framework::MebiBytes memory;
        /// Estimate at the start of the load.
        LoadTimeEstimate estimate;
    };

    struct Home {
        std::unique_ptr<WeightStoreShare> share;
        LoadTimeEstimator estimator;
        std::map<std::size_t, LoadDemand> demand;
        bool areLoadStartsScheduled = false;
    };

    void arrive(const TraceRequest&);
    void serve(const TraceRequest&);
    void finishRequest(std::size_t target);
    void wait(const TraceRequest&);
    bool isHopeless(Home&, const LoadDemand&, std::size_t target, const TraceRequest&) const;
    std::uint32_t loadsAhead(const Home&, std::size_t target) const;
    void refuse(const TraceRequest&, std::size_t& reason);
    void expire(const TraceRequest&);

    void startPendingLoads(std::size_t home);
    void reviewWaiting(Home&);
    void scheduleLoadStarts(std::size_t home, framework::Milliseconds delay);
    std::optional<std::size_t> nextLoad(const Home&, const std::set<std::size_t>& blocked) const;
    bool tryStart(std::size_t home, std::size_t target);
    LoadBid bid(const Home&, std::size_t server, std::size_t target) const;
    CheckpointLocation checkpointLocation(std::size_t server, std::size_t target) const;
    void startLoad(std::size_t home, std::size_t server, std::size_t target, CheckpointLocation);
    void updateStore();
    void endLoad(std::size_t target);
    void serveWaiting(const LoadDemand&);
    void unload(std::size_t target);
    void scheduleUnload(std::size_t target);
    framework::Milliseconds nextLoadTime(std::size_t target, const Replica&) const;
    void unloadExpired(std::size_t server);

    void recordGap(Server&, UseRecord&);
    void setBusy(std::size_t target);
    void setIdle(std::size_t target);
    void accountIdle(Replica&);
    std::uint64_t freeMemory(std::size_t server) const;
    std::vector<std::size_t> replicasOf(std::size_t server) const;
    std::vector<LoadedReplica> viewsOf(const std::vector<std::size_t>& targets) const;
    std::size_t homeOf(std::size_t target) const { return target % homes_.size(); }
    void touchCaches(Server&, std::size_t model);
    framework::SteadyTime now() const { return events_.now(); }

    const Deployment& deployment_;
    const std::vector<Target>& targets_;
    PolicySet policySet_;
    std::unique_ptr<ILoadPlacement> placement_;
    std::unique_ptr<IKeepWarm> keepWarm_;
    std::unique_ptr<ILoadOrder> order_;
    Random random_;
    StoreSlowdown slowdown_;
    EventQueue events_;
    StoreModel store_;
    std::vector<Server> servers_;
    std::vector<Home> homes_;
    std::map<std::size_t, Replica> replicas_;
    /// Time that each load takes after its transfer from the store, by target.
    std::map<std::size_t, framework::Milliseconds> afterTransfer_;
    std::set<const TraceRequest*> waiting_;
    std::uint64_t storeUpdateNumber_ = 0;
    Outcome outcome_;
};

} // namespace lagoon::policy::benchmarks
