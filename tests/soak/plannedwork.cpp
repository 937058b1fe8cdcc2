#include "soak/plannedwork.h"

#include "soak/standins.h"

#include <algorithm>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// Between the ends of a series: several drain at the same time, and the first are back while the last still drain.
constexpr std::uint64_t seriesSpreadMs = 2000;
/// Routers pass an engine that leaves by within this time.
constexpr Milliseconds leavingNotice { 2000 };
/// From its word to its end: it serves on beyond the notice, so that a router which still uses it is found out.
constexpr Milliseconds leaving { 5000 };
/// Engines leave while there are more than these, so that each service has one.
constexpr std::size_t leastEngines = 2;
constexpr std::size_t enginesMore = 3;

} // namespace

PlannedWork::PlannedWork(
    fleet::Fleet& fleet, Agenda& agenda, Journal& journal, Processes& processes, const RunTerms& terms)
    : fleet_(fleet)
    , agenda_(agenda)
    , journal_(journal)
    , processes_(processes)
    , terms_(terms)
    , mostEngines_(fleet.engines() + enginesMore)
{
    for (std::size_t index = listed_.size(); index < fleet.engines(); ++index)
        listed_.push_back(index);
}

void PlannedWork::step()
{
    switch (journal_.draw(6)) {
    case 0:
    case 1:
        return endRouters();
    case 2:
        return endAgents();
    case 3:
        return reloadSome();
    case 4:
        return changeConfiguration();
    default:
        return journal_.draw(2) == 0 ? addEngine() : removeEngine();
    }
}

bool PlannedWork::isListed(std::size_t engine) const
{
    return std::find(listed_.begin(), listed_.end(), engine) != listed_.end();
}

/// One router always serves.
void PlannedWork::endRouters()
{
    const std::size_t routers = processes_.count(Role::Router);
    const std::size_t first = journal_.draw(routers);
    const std::uint64_t gap = journal_.draw(seriesSpreadMs);
    const std::size_t ended = 1 + journal_.draw(routers);
    for (std::size_t number = 0; number < ended; ++number) {
        const std::size_t index = (first + number) % routers;
        agenda_.after(Milliseconds(gap * number), [this, index] {
            if (processes_.serving(Role::Router) > 1)
                processes_.endInOrder(Role::Router, index);
        });
    }
}

void PlannedWork::endAgents()
{
    const std::size_t ended = 1 + journal_.draw(2);
    for (std::size_t number = 0; number < ended; ++number)
        processes_.endInOrder(Role::Agent, listed_[journal_.draw(listed_.size())]);
}

void PlannedWork::reloadSome()
{
    processes_.reload(Role::Agent, listed_[journal_.draw(listed_.size())]);
    processes_.reload(Role::Router, journal_.draw(processes_.count(Role::Router)));
}

void PlannedWork::changeConfiguration()
{
    hasNewRoute_ = !hasNewRoute_;
    journal_.note(hasNewRoute_ ? "a route more" : "a route less");
    fleet_.configure(routesOf(terms_, hasNewRoute_));
}

void PlannedWork::addEngine()
{
    if (listed_.size() >= mostEngines_)
        return;
    const std::size_t index = fleet_.engines();
    fleet::EngineStandin& engine = fleet_.addEngine();
    prepare(engine, terms_);
    journal_.note("engine comes: " + engine.instance());
    processes_.startAgent(index);
    fleet_.list(engine, "engines");
    listed_.push_back(index);
}

/// Some say that they leave, of the others only the entry goes; they all serve on for a while.
void PlannedWork::removeEngine()
{
    if (listed_.size() <= leastEngines)
        return;
    const std::size_t at = journal_.draw(listed_.size());
    const std::size_t index = listed_[at];
    listed_.erase(listed_.begin() + static_cast<std::ptrdiff_t>(at));
    journal_.note("engine leaves: " + fleet_.engine(index).instance());
    const bool isSilent = index % 2 == 1;
    if (isSilent)
        fleet_.store.remove("servers", fleet_.engine(index).instance());
    else
        fleet_.list(fleet_.engine(index), "engines", "draining");
    left_.push_back({ index, std::chrono::steady_clock::now() });
    agenda_.after(leaving, [this, index] {
        fleet_.store.remove("servers", fleet_.engine(index).instance());
        processes_.retire(Role::Agent, index);
    });
}

void PlannedWork::checkLeft() const
{
    for (const Left& left : left_) {
        const fleet::EngineStandin& engine = fleet_.engine(left.engine);
        if (engine.lastRunAt() <= left.at + leavingNotice)
            continue;
        journal_.fail("a request reached " + engine.instance() + " at " + journal_.when(engine.lastRunAt())
            + ", which left at " + journal_.when(left.at));
    }
}

} // namespace lagoon::soak
