#include "router/internal/loadgate.h"

#include "router/internal/targets.h"

#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

namespace {

/// Interval at which queued loads are checked while the weight store's rate limit delays them.
constexpr Milliseconds pollInterval { 50 };

std::string keyOf(const SiteTarget& where) { return where.site.value() + ":" + wire::targetText(toWire(where.target)); }

} // namespace

LoadGate::LoadGate(framework::IControlExecutor& control, const framework::IClock& clock, framework::Metrics& metrics)
    : control_(control)
    , clock_(clock)
    , metrics_(metrics)
    , share_(bundle::PolicyParameters {})
{
}

void LoadGate::enqueue(const GatedLoad& load, std::function<void()> start)
{
    Entry& entry = entries_[load.where];
    entry = Entry { load, std::move(start), clock_.now(), false, {} };
    if (!usesStore(load))
        return this->start(entry);
    startDue();
}

void LoadGate::setDemand(const SiteTarget& where, const LoadDemand& demand)
{
    const auto found = entries_.find(where);
    if (found != entries_.end())
        found->second.load.demand = demand;
}

void LoadGate::didEnd(const SiteTarget& where, bool isLoaded)
{
    const auto found = entries_.find(where);
    if (found == entries_.end())
        return;
    const Entry entry = std::move(found->second);
    entries_.erase(found);
    if (!entry.isRunning)
        return;
    const SteadyTime now = clock_.now();
    const auto took = std::chrono::duration_cast<Milliseconds>(now - entry.startedAt);
    if (isLoaded) {
        estimator_.record(keyOf(where), entry.load.checkpoint, entry.load.memory, took, now);
        metrics_.observeSeconds("lagoon_load_seconds", std::chrono::duration<double>(now - entry.startedAt).count());
    }
    if (usesStore(entry.load))
        share_.end();
    startDue();
}

void LoadGate::startDue()
{
    timer_.reset();
    const SteadyTime now = clock_.now();
    while (const auto next = nextLoad({})) {
        Entry& entry = entries_.at(*next);
        if (!share_.mayStart(entry.since, now)) {
            timer_ = control_.runAt(Deadline::after(now, pollInterval), [this] { startDue(); });
            return;
        }
        share_.start(now);
        start(entry);
    }
}

/// Returns the queued load that would start next if those in `excluded` had started; std::nullopt if there is none.
std::optional<SiteTarget> LoadGate::nextLoad(const std::set<SiteTarget>& excluded) const
{
    std::vector<SiteTarget> targets;
    std::vector<policy::PendingLoad> pending;
    for (const auto& [where, entry] : entries_) {
        if (entry.isRunning || excluded.contains(where))
            continue;
        targets.push_back(where);
        pending.push_back(pendingLoad(entry));
    }
    const auto next = order_->next(pending, clock_.now());
    return next ? std::optional(targets[*next]) : std::nullopt;
}

/// Returns the number of queued loads that start before this one. Uses the load order itself: by deadlines alone, a
/// load that more valuable loads overtake would seem to be next.
std::uint32_t LoadGate::loadsAhead(const SiteTarget& where) const
{
    std::set<SiteTarget> excluded;
    while (const auto next = nextLoad(excluded)) {
        if (*next == where)
            break;
        excluded.insert(*next);
    }
    return static_cast<std::uint32_t>(excluded.size());
}

void LoadGate::start(Entry& entry)
{
    entry.isRunning = true;
    entry.startedAt = clock_.now();
    metrics_.observeSeconds(
        "lagoon_load_queue_seconds", std::chrono::duration<double>(entry.startedAt - entry.since).count());
    const auto action = std::move(entry.start);
    action();
}

policy::PendingLoad LoadGate::pendingLoad(const Entry& entry) const
{
    policy::PendingLoad pending;
    pending.target = keyOf(entry.load.where);
    pending.earliestDeadline = entry.load.demand.earliest;
    pending.waiters = entry.load.demand.waiters;
    pending.priority = entry.load.demand.priority;
    pending.since = entry.since;
    pending.expectedLoad = estimate(entry.load).typical;
    return pending;
}

policy::LoadTimeEstimate LoadGate::estimate(const GatedLoad& load) const
{
    return estimator_.estimate(keyOf(load.where), load.checkpoint, load.memory, clock_.now());
}

policy::LoadForecast LoadGate::forecast(const SiteTarget& where) const
{
    const auto found = entries_.find(where);
    if (found == entries_.end())
        return {};
    const Entry& own = found->second;
    const policy::LoadTimeEstimate ownEstimate = estimate(own.load);
    if (own.isRunning)
        return forecastRunning(ownEstimate, std::chrono::duration_cast<Milliseconds>(clock_.now() - own.startedAt));
    policy::LoadQueue queue;
    queue.running = share_.running();
    queue.slots = share_.slots();
    queue.loadsPerSecond = share_.loadsPerSecond();
    queue.perLoad = ownEstimate;
    queue.ahead = loadsAhead(where);
    return forecastWaiting(ownEstimate, queue);
}

void LoadGate::setPolicy(const bundle::PolicyParameters& parameters, std::unique_ptr<policy::ILoadOrder> order)
{
    share_.setLimits(parameters);
    order_ = std::move(order);
}

void LoadGate::setHomes(std::uint32_t count, std::uint32_t rank) { share_.setLiveRouters(count, rank); }

bool LoadGate::usesStore(const GatedLoad& load) { return load.checkpoint == policy::CheckpointLocation::Remote; }

} // namespace lagoon::router
