#include "router/internal/loadgate.h"

#include "router/internal/targets.h"

#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

namespace {

/// How often waiting loads are looked at while the store's rate holds them.
constexpr Milliseconds lookInterval { 50 };

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

void LoadGate::ended(const SiteTarget& where, bool isLoaded)
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
            timer_ = control_.runAt(Deadline::after(now, lookInterval), [this] { startDue(); });
            return;
        }
        share_.start(now);
        start(entry);
    }
}

/// Which waiting load would start next if those of `passed` had.
std::optional<SiteTarget> LoadGate::nextLoad(const std::set<SiteTarget>& passed) const
{
    std::vector<SiteTarget> targets;
    std::vector<policy::PendingLoad> pending;
    for (const auto& [where, entry] : entries_) {
        if (entry.isRunning || passed.contains(where))
            continue;
        targets.push_back(where);
        pending.push_back(pendingLoad(entry));
    }
    const auto next = order_->next(pending, clock_.now());
    return next ? std::optional(targets[*next]) : std::nullopt;
}

/// Asks the order itself: by deadlines alone, a load that others of more value overtake seemed next.
std::uint32_t LoadGate::loadsAhead(const SiteTarget& where) const
{
    std::set<SiteTarget> passed;
    while (const auto next = nextLoad(passed)) {
        if (*next == where)
            break;
        passed.insert(*next);
    }
    return static_cast<std::uint32_t>(passed.size());
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
    queue.places = share_.places();
    queue.loadsPerSecond = share_.loadsPerSecond();
    queue.each = ownEstimate;
    queue.ahead = loadsAhead(where);
    return forecastWaiting(ownEstimate, queue);
}

void LoadGate::setPolicy(const bundle::PolicyParameters& numbers, std::unique_ptr<policy::ILoadOrder> order)
{
    share_.setLimits(numbers);
    order_ = std::move(order);
}

void LoadGate::setHomes(std::uint32_t count, std::uint32_t rank) { share_.setLiveRouters(count, rank); }

bool LoadGate::usesStore(const GatedLoad& load) { return load.checkpoint == policy::CheckpointPlace::Remote; }

} // namespace lagoon::router
