#include "soak/plannedoperations.h"

#include "soak/standins.h"

#include <algorithm>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// The maximum time between two shutdowns of a series: short enough that several routers drain at the same time, and
/// that the first have restarted while the last still drain.
constexpr std::uint64_t seriesGapRangeMs = 2000;
/// Routers stop using an engine that leaves within this time.
constexpr Milliseconds leavingNotice { 2000 };
/// The time from the start of an engine's removal until its agent is terminated. The engine serves for longer than
/// `leavingNotice`, so that a router that still uses it is detected.
constexpr Milliseconds removalDelay { 5000 };
/// Engines are only removed while there are more than this, so that each service keeps at least one.
constexpr std::size_t minEngines = 2;
constexpr std::size_t additionalEngines = 3;

} // namespace

PlannedOperations::PlannedOperations(fleet::Fleet& fleet, ActionScheduler& scheduler, RunLog& runLog,
    ProcessSupervisor& supervisor, const RunParameters& parameters)
    : fleet_(fleet)
    , scheduler_(scheduler)
    , runLog_(runLog)
    , supervisor_(supervisor)
    , parameters_(parameters)
    , maxEngines_(fleet.engines() + additionalEngines)
{
    for (std::size_t index = listed_.size(); index < fleet.engines(); ++index)
        listed_.push_back(index);
}

void PlannedOperations::performOne()
{
    switch (runLog_.draw(6)) {
    case 0:
    case 1:
        return terminateRouters();
    case 2:
        return terminateAgents();
    case 3:
        return reloadProcesses();
    case 4:
        return changeConfiguration();
    default:
        return runLog_.draw(2) == 0 ? addEngine() : removeEngine();
    }
}

bool PlannedOperations::isListed(std::size_t engine) const
{
    return std::find(listed_.begin(), listed_.end(), engine) != listed_.end();
}

/// Always leaves one router serving.
void PlannedOperations::terminateRouters()
{
    const std::size_t routers = supervisor_.count(Role::Router);
    const std::size_t first = runLog_.draw(routers);
    const std::uint64_t gap = runLog_.draw(seriesGapRangeMs);
    const std::size_t ended = 1 + runLog_.draw(routers);
    for (std::size_t number = 0; number < ended; ++number) {
        const std::size_t index = (first + number) % routers;
        scheduler_.schedule(Milliseconds(gap * number), [this, index] {
            if (supervisor_.servingCount(Role::Router) > 1)
                supervisor_.terminate(Role::Router, index);
        });
    }
}

void PlannedOperations::terminateAgents()
{
    const std::size_t ended = 1 + runLog_.draw(2);
    for (std::size_t number = 0; number < ended; ++number)
        supervisor_.terminate(Role::Agent, listed_[runLog_.draw(listed_.size())]);
}

void PlannedOperations::reloadProcesses()
{
    supervisor_.reload(Role::Agent, listed_[runLog_.draw(listed_.size())]);
    supervisor_.reload(Role::Router, runLog_.draw(supervisor_.count(Role::Router)));
}

void PlannedOperations::changeConfiguration()
{
    hasNewRoute_ = !hasNewRoute_;
    runLog_.note(hasNewRoute_ ? "route added" : "route removed");
    fleet_.configure(routesOf(parameters_, hasNewRoute_));
}

void PlannedOperations::addEngine()
{
    if (listed_.size() >= maxEngines_)
        return;
    const std::size_t index = fleet_.engines();
    fleet::EngineStandin& engine = fleet_.addEngine();
    prepare(engine, parameters_);
    runLog_.note("engine added: " + engine.instance());
    supervisor_.startAgent(index);
    fleet_.list(engine, "engines");
    listed_.push_back(index);
}

void PlannedOperations::replaceEngine()
{
    // The faults of a run are injected at a proxy in front of this engine.
    constexpr std::size_t proxiedEngine = 1;
    const std::vector<std::string> versions { "v1", "v1.1", "v2" };
    const std::size_t index = listed_[runLog_.draw(listed_.size())];
    if (index == proxiedEngine)
        return;
    fleet::EngineStandin& engine = fleet_.engine(index);
    const std::string former = engine.instance();
    const std::string& version = versions[runLog_.draw(versions.size())];
    engine.replaceBy("r-" + std::to_string(++replacedEngines_), version);
    engine.hold("warm");
    runLog_.note("engine replaced: " + former + " by " + engine.instance() + ", " + version);
    fleet_.store.remove("servers", former);
    fleet_.list(engine, "engines");
}

/// Engines with even numbers announce that they drain; of the others, only the entry in the store is removed. All
/// continue to serve for `removalDelay`.
void PlannedOperations::removeEngine()
{
    if (listed_.size() <= minEngines)
        return;
    const std::size_t at = runLog_.draw(listed_.size());
    const std::size_t index = listed_[at];
    listed_.erase(listed_.begin() + static_cast<std::ptrdiff_t>(at));
    runLog_.note("engine removed: " + fleet_.engine(index).instance());
    const bool isSilent = index % 2 == 1;
    if (isSilent)
        fleet_.store.remove("servers", fleet_.engine(index).instance());
    else
        fleet_.list(fleet_.engine(index), "engines", "draining");
    removals_.push_back({ index, std::chrono::steady_clock::now() });
    scheduler_.schedule(removalDelay, [this, index] {
        fleet_.store.remove("servers", fleet_.engine(index).instance());
        supervisor_.retire(Role::Agent, index);
    });
}

void PlannedOperations::checkRemovedEngines() const
{
    for (const Removal& removal : removals_) {
        const fleet::EngineStandin& engine = fleet_.engine(removal.engine);
        if (engine.lastRunAt() <= removal.at + leavingNotice)
            continue;
        runLog_.fail("a request reached " + engine.instance() + " at " + runLog_.elapsedText(engine.lastRunAt())
            + ", which was removed at " + runLog_.elapsedText(removal.at));
    }
}

} // namespace lagoon::soak
