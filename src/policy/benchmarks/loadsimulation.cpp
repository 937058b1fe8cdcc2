#include "policy/benchmarks/loadsimulation.h"

#include "policy/expiredreplicas.h"
#include "policy/rendezvous.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace lagoon::policy::benchmarks {

using framework::Deadline;
using framework::MebiBytes;
using framework::Milliseconds;
using framework::SteadyTime;

namespace {

using Seconds = std::chrono::duration<double>;

/// Interval at which a home router tries again to start loads that it couldn't start.
constexpr Milliseconds startRetryInterval { 200 };
/// Interval at which a home router checks for hopeless requests while all its loads are started.
constexpr Milliseconds reviewInterval { 1000 };
/// Time from the arrival of a request until the home router of its target starts loads.
constexpr Milliseconds wakeDelay { 5 };
constexpr Milliseconds minAnswerTime { 1000 };
constexpr std::size_t maxRecentUses = 8;

/// Time that a load takes besides the transfer from the store. The policies don't know these values.
constexpr double remoteFixedSeconds = 4;
constexpr double diskFixedSeconds = 3;
constexpr double diskMebiBytesPerSecond = 2000;
constexpr double memoryFixedSeconds = 2;
constexpr double memoryMebiBytesPerSecond = 12000;
/// Standard deviation of the logarithm of the random factor on the duration of each load.
constexpr double noise = 0.15;

Milliseconds milliseconds(double seconds) { return std::chrono::duration_cast<Milliseconds>(Seconds(seconds)); }

double percentile(std::vector<double> values, double percent)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    const double rank = std::ceil(percent / 100 * static_cast<double>(values.size()));
    return values[static_cast<std::size_t>(std::max(1.0, rank)) - 1];
}

bundle::PolicyParameters storeParameters(const Deployment& deployment)
{
    bundle::PolicyParameters parameters;
    parameters.weightLoadsPerSecond = deployment.storeLoadsPerSecond;
    parameters.weightLoadsAtFullSpeed = deployment.storeFullSpeedLoads;
    return parameters;
}

} // namespace

double Outcome::totalColdSeconds() const
{
    double sum = 0;
    for (const double wait : coldWaits)
        sum += wait;
    return sum;
}

double Outcome::waitPercentile(double percent) const
{
    std::vector<double> all = coldWaits;
    all.resize(requests, 0);
    return percentile(std::move(all), percent);
}

double Outcome::coldPercentile(double percent) const { return percentile(coldWaits, percent); }

double Outcome::refusalPercentile(double percent) const { return percentile(refusalWaits, percent); }

LoadSimulation::LoadSimulation(const Deployment& deployment, const PolicySet& policySet,
    const std::vector<Target>& targets, std::uint64_t seed, StoreSlowdown slowdown)
    : deployment_(deployment)
    , targets_(targets)
    , policySet_(policySet)
    , placement_(policySet.placement(deployment))
    , keepWarm_(policySet.keepWarm(deployment))
    , order_(policySet.order(deployment))
    , random_(seed)
    , slowdown_(slowdown)
    , store_(deployment.storeLoadsPerSecond, deployment.storeFullSpeedLoads)
    , servers_(deployment.servers)
    , homes_(deployment.routers)
{
    const auto routers = static_cast<std::uint32_t>(homes_.size());
    for (std::uint32_t rank = 0; rank < routers; ++rank) {
        homes_[rank].share = std::make_unique<WeightStoreShare>(storeParameters(deployment), policySet.mayBorrow);
        homes_[rank].share->setLiveRouters(routers, rank);
    }
    for (std::size_t index = 0; index < servers_.size(); ++index) {
        servers_[index].vm = framework::VmName("server-" + std::to_string(index));
        // The disk caches differ between the servers from the start, as after a week of use.
        for (std::size_t cached = 0; cached < deployment.models / 6; ++cached)
            touchCaches(servers_[index], random_() % deployment.models);
        servers_[index].memoryCache.clear();
    }
}

Outcome LoadSimulation::run(const std::vector<TraceRequest>& trace)
{
    for (const TraceRequest& request : trace)
        events_.at(request.at, [this, &request] { arrive(request); });
    if (slowdown_.from != SteadyTime()) {
        const auto setSpeed = [this](double speed) {
            store_.setSpeed(speed);
            updateStore();
        };
        events_.at(slowdown_.from, [this, setSpeed] { setSpeed(slowdown_.speed); });
        events_.at(slowdown_.to, [setSpeed] { setSpeed(1); });
    }
    // At the end of the trace, the replicas that are still loaded have been idle until now.
    events_.at(traceEnd, [this] {
        for (auto& [target, replica] : replicas_)
            accountIdle(replica);
    });
    events_.run();
    outcome_.requests = trace.size();
    outcome_.storeRefusals = store_.refusals();
    return outcome_;
}

void LoadSimulation::arrive(const TraceRequest& request)
{
    const auto warm = replicas_.find(request.target);
    if (warm != replicas_.end() && warm->second.state == State::Loaded)
        return serve(request);
    wait(request);
}

void LoadSimulation::serve(const TraceRequest& request)
{
    const std::size_t model = targets_[request.target].model;
    setBusy(request.target);
    if (model != request.target)
        setBusy(model);
    ++outcome_.served;
    outcome_.servedHighPriority += request.priority == 9 ? 1 : 0;
    events_.at(now() + request.service, [this, target = request.target, model] {
        finishRequest(target);
        if (model != target)
            finishRequest(model);
    });
}

void LoadSimulation::finishRequest(std::size_t target)
{
    Replica& replica = replicas_.at(target);
    --replica.view.running;
    replica.view.lastUsed = now();
    if (replica.view.running > 0)
        return;
    setIdle(target);
    scheduleUnload(target);
    // This replica is idle now, so that loads may evict it to free memory.
    for (std::size_t home = 0; home < homes_.size(); ++home) {
        if (!homes_[home].demand.empty())
            scheduleLoadStarts(home, Milliseconds(0));
    }
}

void LoadSimulation::wait(const TraceRequest& request)
{
    Home& home = homes_[homeOf(request.target)];
    LoadDemand& demand = home.demand[request.target];
    if (demand.pending.target.empty()) {
        demand.pending.target = targets_[request.target].name;
        demand.pending.since = now();
        demand.pending.earliestDeadline = request.deadline;
    }
    demand.pending.waiters += 1;
    demand.pending.earliestDeadline = std::min(demand.pending.earliestDeadline, request.deadline);
    demand.pending.priority = std::max(demand.pending.priority, request.priority);
    scheduleLoadStarts(homeOf(request.target), wakeDelay);
    // The load starts for a hopeless request too: its caller finds the model warm when it retries.
    if (policySet_.refusesHopeless && isHopeless(home, demand, request.target, request)) {
        refuse(request, outcome_.hopeless);
        return;
    }
    demand.waiting.push_back(&request);
    waiting_.insert(&request);
    events_.at(request.deadline.at(), [this, &request] { expire(request); });
}

bool LoadSimulation::isHopeless(
    Home& home, const LoadDemand& demand, std::size_t target, const TraceRequest& request) const
{
    if (demand.isStarted) {
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now() - demand.startedAt);
        return policy::isHopeless(forecastRunning(demand.estimate, elapsed), request.deadline, minAnswerTime, now());
    }
    CheckpointLocation nearest = CheckpointLocation::Remote;
    for (std::size_t server = 0; server < servers_.size(); ++server)
        nearest = std::min(nearest, checkpointLocation(server, target));
    const LoadTimeEstimate own
        = home.estimator.estimate(targets_[target].name, nearest, targets_[target].memory, now());
    LoadQueue queue;
    if (nearest == CheckpointLocation::Remote) {
        queue.running = home.share->running();
        queue.ahead = loadsAhead(home, target);
        queue.slots = home.share->slots();
        queue.loadsPerSecond = deployment_.storeLoadsPerSecond;
        queue.perLoad = own;
    }
    return policy::isHopeless(forecastWaiting(own, queue), request.deadline, minAnswerTime, now());
}

std::uint32_t LoadSimulation::loadsAhead(const Home& home, std::size_t target) const
{
    std::set<std::size_t> started;
    while (const auto next = nextLoad(home, started)) {
        if (*next == target)
            break;
        started.insert(*next);
    }
    return static_cast<std::uint32_t>(started.size());
}

void LoadSimulation::refuse(const TraceRequest& request, std::size_t& reason)
{
    ++reason;
    outcome_.coldWaits.push_back(Seconds(deployment_.timeout).count());
    outcome_.refusedAt.push_back(request.at);
    outcome_.refusalWaits.push_back(Seconds(now() - request.at).count());
}

void LoadSimulation::expire(const TraceRequest& request)
{
    if (waiting_.erase(&request) == 0)
        return;
    Home& home = homes_[homeOf(request.target)];
    if (const auto found = home.demand.find(request.target); found != home.demand.end())
        std::erase(found->second.waiting, &request);
    refuse(request, outcome_.expired);
}

void LoadSimulation::scheduleLoadStarts(std::size_t home, Milliseconds delay)
{
    if (homes_[home].areLoadStartsScheduled)
        return;
    homes_[home].areLoadStartsScheduled = true;
    events_.at(now() + delay, [this, home] {
        homes_[home].areLoadStartsScheduled = false;
        startPendingLoads(home);
    });
}

void LoadSimulation::startPendingLoads(std::size_t index)
{
    Home& home = homes_[index];
    // Demand ends if the load hasn't started, no request waits for it and the timeout has passed.
    std::erase_if(home.demand, [this](const auto& entry) {
        return !entry.second.isStarted && entry.second.waiting.empty()
            && now() > entry.second.pending.since + deployment_.timeout;
    });
    reviewWaiting(home);
    std::set<std::size_t> blocked;
    while (const auto target = nextLoad(home, blocked)) {
        if (!tryStart(index, *target))
            blocked.insert(*target);
    }
    if (!blocked.empty())
        scheduleLoadStarts(index, startRetryInterval);
    else if (!home.demand.empty())
        scheduleLoadStarts(index, reviewInterval);
}

/// Refuses requests that have become hopeless since their arrival now instead of at their deadlines.
void LoadSimulation::reviewWaiting(Home& home)
{
    if (!policySet_.refusesHopeless)
        return;
    for (const auto& [target, demand] : home.demand) {
        if (!demand.isStarted)
            continue;
        const auto elapsed = std::chrono::duration_cast<Milliseconds>(now() - demand.startedAt);
        home.estimator.recordUnfinished(demand.pending.target, demand.location, demand.memory, elapsed, now());
    }
    for (auto& [target, demand] : home.demand) {
        const auto hopeless = std::stable_partition(demand.waiting.begin(), demand.waiting.end(),
            [&, target = target, &demand = demand](
                const TraceRequest* request) { return !isHopeless(home, demand, target, *request); });
        for (auto request = hopeless; request != demand.waiting.end(); ++request) {
            waiting_.erase(*request);
            refuse(**request, outcome_.hopeless);
        }
        demand.waiting.erase(hopeless, demand.waiting.end());
    }
}

std::optional<std::size_t> LoadSimulation::nextLoad(const Home& home, const std::set<std::size_t>& blocked) const
{
    std::vector<PendingLoad> pending;
    std::vector<std::size_t> targets;
    for (const auto& [target, demand] : home.demand) {
        if (demand.isStarted || blocked.contains(target))
            continue;
        pending.push_back(demand.pending);
        pending.back().expectedLoad
            = home.estimator.estimate(demand.pending.target, CheckpointLocation::Remote, targets_[target].memory, now())
                  .typical;
        targets.push_back(target);
    }
    const auto chosen = order_->next(pending, now());
    return chosen ? std::optional(targets[*chosen]) : std::nullopt;
}

bool LoadSimulation::tryStart(std::size_t index, std::size_t target)
{
    if (replicas_.contains(target))
        return false; // the model is already being loaded for one of its adapters
    Home& home = homes_[index];
    std::vector<LoadBid> bids;
    std::vector<framework::VmName> vms;
    for (const Server& server : servers_)
        vms.push_back(server.vm);
    std::vector<std::size_t> order;
    for (const framework::VmName& vm : rendezvousOrder(targets_[targets_[target].model].name, vms)) {
        const auto server = static_cast<std::size_t>(std::find(vms.begin(), vms.end(), vm) - vms.begin());
        order.push_back(server);
        bids.push_back(bid(home, server, target));
    }
    const auto chosen = placement_->choose(bids);
    if (!chosen)
        return false;
    const std::size_t server = order[*chosen];
    const CheckpointLocation location = bids[*chosen].checkpoint;
    if (location == CheckpointLocation::Remote) {
        if (!home.share->mayStart(home.demand.at(target).pending.since, now()))
            return false;
        if (!store_.admit(now())) {
            home.share->recordRefusal(now());
            return false;
        }
    }
    startLoad(index, server, target, location);
    return true;
}

LoadBid LoadSimulation::bid(const Home& home, std::size_t server, std::size_t target) const
{
    const std::size_t model = targets_[target].model;
    LoadBid made;
    made.vm = servers_[server].vm;
    made.checkpoint = checkpointLocation(server, target);
    std::uint64_t needed = targets_[target].memory.value();
    const auto modelReplica = replicas_.find(model);
    if (model != target && modelReplica != replicas_.end()) {
        // The replica cap allows one replica per model, so an adapter has to be loaded where its model is.
        if (modelReplica->second.server != server || modelReplica->second.state != State::Loaded)
            return made;
    } else if (model != target) {
        needed += targets_[model].memory.value();
    }
    made.expectedLoad
        = home.estimator.estimate(targets_[target].name, made.checkpoint, MebiBytes(needed), now()).typical;
    const std::uint64_t free = freeMemory(server);
    made.freeMemory = MebiBytes(free);
    made.canLoad = true;
    if (free >= needed)
        return made;
    std::vector<std::size_t> here = replicasOf(server);
    std::erase(here, model);
    const std::vector<LoadedReplica> candidates = viewsOf(here);
    const std::vector<std::size_t> victims = keepWarm_->victims(candidates, MebiBytes(needed - free), now());
    made.canLoad = !victims.empty();
    std::uint64_t evicted = 0;
    SteadyTime lastUsed {};
    for (const std::size_t victim : victims) {
        evicted += candidates[victim].memory.value();
        lastUsed = std::max(lastUsed, candidates[victim].lastUsed);
    }
    made.evictedMemory = MebiBytes(evicted);
    made.victimIdle = std::chrono::duration_cast<Milliseconds>(now() - lastUsed);
    return made;
}

/// An adapter is small, so the location of its model's checkpoint decides, unless the model is loaded.
CheckpointLocation LoadSimulation::checkpointLocation(std::size_t server, std::size_t target) const
{
    const std::size_t model = targets_[target].model;
    if (model != target && replicas_.contains(model))
        return CheckpointLocation::Disk;
    const auto has = [model](const std::deque<std::size_t>& cache) {
        return std::find(cache.begin(), cache.end(), model) != cache.end();
    };
    if (has(servers_[server].memoryCache))
        return CheckpointLocation::Memory;
    return has(servers_[server].diskCache) ? CheckpointLocation::Disk : CheckpointLocation::Remote;
}

void LoadSimulation::startLoad(std::size_t index, std::size_t server, std::size_t target, CheckpointLocation location)
{
    const std::size_t model = targets_[target].model;
    const bool needsModel = model != target && !replicas_.contains(model);
    std::uint64_t needed = targets_[target].memory.value() + (needsModel ? targets_[model].memory.value() : 0);
    if (const std::uint64_t free = freeMemory(server); free < needed) {
        std::vector<std::size_t> here = replicasOf(server);
        std::erase(here, model);
        for (const std::size_t victim : keepWarm_->victims(viewsOf(here), MebiBytes(needed - free), now())) {
            unload(here[victim]);
            ++outcome_.evictions;
        }
    }
    Home& home = homes_[index];
    LoadDemand& demand = home.demand.at(target);
    demand.isStarted = true;
    demand.startedAt = now();
    demand.location = location;
    demand.memory = MebiBytes(needed);
    demand.estimate = home.estimator.estimate(targets_[target].name, location, demand.memory, now());
    for (const std::size_t part : { model, target }) {
        if (replicas_.contains(part))
            continue;
        Replica replica;
        replica.server = server;
        replica.view.model = framework::ModelName(targets_[model].name);
        replica.view.adapter = framework::AdapterName(targets_[part].isAdapter ? targets_[part].name : "");
        replica.view.memory = targets_[part].memory;
        replica.view.running = 1; // counts as running while it is being loaded
        replica.idleSince = now();
        replicas_.emplace(part, std::move(replica));
        servers_[server].targets.insert(part);
    }
    ++outcome_.loads;
    const double slowness = targets_[target].slowness * std::exp(noise * std::normal_distribution<double>()(random_));
    const auto size = static_cast<double>(needed);
    if (location == CheckpointLocation::Remote) {
        ++outcome_.remoteLoads;
        home.share->start(now());
        afterTransfer_[target] = milliseconds(remoteFixedSeconds * slowness);
        store_.begin(target, size * slowness, now());
        return updateStore();
    }
    const double fixed = location == CheckpointLocation::Disk ? diskFixedSeconds : memoryFixedSeconds;
    const double speed = location == CheckpointLocation::Disk ? diskMebiBytesPerSecond : memoryMebiBytesPerSecond;
    events_.at(now() + milliseconds((fixed + size / speed) * slowness), [this, target] { endLoad(target); });
}

void LoadSimulation::updateStore()
{
    while (const auto ended = store_.advance(now())) {
        const std::size_t target = *ended;
        homes_[homeOf(target)].share->end();
        events_.at(now() + afterTransfer_.at(target), [this, target] { endLoad(target); });
    }
    const std::uint64_t update = ++storeUpdateNumber_;
    if (const auto next = store_.nextEnd()) {
        events_.at(*next, [this, update] {
            if (update == storeUpdateNumber_)
                updateStore();
        });
    }
}

void LoadSimulation::endLoad(std::size_t target)
{
    Home& home = homes_[homeOf(target)];
    LoadDemand demand = std::move(home.demand.at(target));
    home.demand.erase(target);
    const auto took = std::chrono::duration_cast<Milliseconds>(now() - demand.startedAt);
    const std::size_t model = targets_[target].model;
    Replica& replica = replicas_.at(target);
    const bool hasLoadedModel = model != target && replicas_.at(model).state == State::Loading;
    home.estimator.record(targets_[target].name, demand.location, demand.memory, took, now());
    touchCaches(servers_[replica.server], model);
    for (const std::size_t part : { model, target }) {
        Replica& loadedPart = replicas_.at(part);
        if (loadedPart.state == State::Loaded)
            continue;
        loadedPart.state = State::Loaded;
        // The duration of a load that loaded the model too says nothing about the next load of the adapter alone.
        loadedPart.view.loadTime = hasLoadedModel && part == target ? Milliseconds(2000) : took;
        loadedPart.view.running = 0;
        loadedPart.view.lastUsed = now();
        // The accelerator served no requests during the load, so this time counts as idle too.
        accountIdle(loadedPart);
    }
    serveWaiting(demand);
    if (auto& modelDemand = homes_[homeOf(model)].demand; model != target && modelDemand.contains(model))
        serveWaiting(modelDemand.extract(model).mapped());
    scheduleUnload(target);
    scheduleUnload(model);
    for (std::size_t other = 0; other < homes_.size(); ++other) {
        if (!homes_[other].demand.empty())
            scheduleLoadStarts(other, Milliseconds(0));
    }
}

void LoadSimulation::serveWaiting(const LoadDemand& demand)
{
    for (const TraceRequest* request : demand.waiting) {
        waiting_.erase(request);
        const double waited = Seconds(now() - request->at).count();
        outcome_.coldWaits.push_back(waited);
        serve(*request);
    }
}

void LoadSimulation::unload(std::size_t target)
{
    Replica& replica = replicas_.at(target);
    accountIdle(replica);
    servers_[replica.server].targets.erase(target);
    replicas_.erase(target);
}

void LoadSimulation::scheduleUnload(std::size_t target)
{
    const auto found = replicas_.find(target);
    if (found == replicas_.end() || found->second.view.running > 0)
        return;
    found->second.view.loadTime = nextLoadTime(target, found->second);
    const Deadline until = keepWarm_->keepUntil(found->second.view, deployment_.serverMemory);
    if (until.at() > traceEnd)
        return;
    events_.at(until.at(), [this, server = found->second.server] { unloadExpired(server); });
}

/// Returns the mean of the load time from the checkpoint's present location and that from disk, since other checkpoints
/// may have replaced it in the memory cache by then.
Milliseconds LoadSimulation::nextLoadTime(std::size_t target, const Replica& replica) const
{
    const LoadTimeEstimator& estimator = homes_[homeOf(target)].estimator;
    const auto from = [&](CheckpointLocation location) {
        return estimator.estimate(targets_[target].name, location, targets_[target].memory, now()).typical;
    };
    const CheckpointLocation present = checkpointLocation(replica.server, targets_[target].model);
    return (from(present) + from(std::max(present, CheckpointLocation::Disk))) / 2;
}

void LoadSimulation::unloadExpired(std::size_t server)
{
    const std::vector<std::size_t> here = replicasOf(server);
    for (const std::size_t index : expiredReplicas(*keepWarm_, viewsOf(here), deployment_.serverMemory, now()))
        unload(here[index]);
}

void LoadSimulation::setBusy(std::size_t target)
{
    Replica& replica = replicas_.at(target);
    accountIdle(replica);
    UseRecord& uses = servers_[replica.server].uses[target];
    if (replica.view.running == 0 && uses.lastEnd != SteadyTime())
        recordGap(servers_[replica.server], uses);
    replica.view.gaps = uses.gaps.withPrior(servers_[replica.server].allGaps);
    ++replica.view.running;
    replica.view.lastUsed = now();
    replica.view.recentUses.push_back(now());
    if (replica.view.recentUses.size() > maxRecentUses)
        replica.view.recentUses.erase(replica.view.recentUses.begin());
}

void LoadSimulation::recordGap(Server& server, UseRecord& uses)
{
    const auto gap = std::chrono::duration_cast<Milliseconds>(now() - uses.lastEnd);
    uses.gaps.record(gap);
    server.allGaps.record(gap);
}

void LoadSimulation::setIdle(std::size_t target)
{
    Replica& replica = replicas_.at(target);
    replica.idleSince = now();
    servers_[replica.server].uses[target].lastEnd = now();
}

void LoadSimulation::accountIdle(Replica& replica)
{
    if (replica.view.running > 0)
        return;
    const double share
        = static_cast<double>(replica.view.memory.value()) / static_cast<double>(deployment_.serverMemory.value());
    outcome_.idleAcceleratorHours += share * Seconds(now() - replica.idleSince).count() / 3600;
    replica.idleSince = now();
}

std::uint64_t LoadSimulation::freeMemory(std::size_t server) const
{
    std::uint64_t used = 0;
    for (const std::size_t target : servers_[server].targets)
        used += targets_[target].memory.value();
    return deployment_.serverMemory.value() - used;
}

std::vector<std::size_t> LoadSimulation::replicasOf(std::size_t server) const
{
    return { servers_[server].targets.begin(), servers_[server].targets.end() };
}

std::vector<LoadedReplica> LoadSimulation::viewsOf(const std::vector<std::size_t>& targets) const
{
    std::vector<LoadedReplica> made;
    for (const std::size_t target : targets)
        made.push_back(replicas_.at(target).view);
    return made;
}

void LoadSimulation::touchCaches(Server& server, std::size_t model)
{
    const auto touch = [this, model](std::deque<std::size_t>& cache, double accelerators) {
        std::erase(cache, model);
        cache.push_front(model);
        const double capacity = accelerators * static_cast<double>(deployment_.serverMemory.value());
        double used = 0;
        std::size_t kept = 0;
        for (const std::size_t cached : cache) {
            used += static_cast<double>(targets_[cached].memory.value());
            if (used > capacity)
                break;
            ++kept;
        }
        cache.resize(kept);
    };
    touch(server.diskCache, deployment_.diskCache);
    touch(server.memoryCache, deployment_.memoryCache);
}

} // namespace lagoon::policy::benchmarks
