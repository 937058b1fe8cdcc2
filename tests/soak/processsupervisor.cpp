#include "soak/processsupervisor.h"

#include <algorithm>
#include <csignal>

namespace lagoon::soak {

namespace {

using framework::Deadline;
using framework::Milliseconds;

/// Added to the grace period within which a process must end after SIGTERM, because a busy machine may need longer.
constexpr Milliseconds terminationMargin { 10000 };
/// How long a process stays stopped: from a short pause to one after which other processes consider it dead.
constexpr std::uint64_t minPauseMs = 50;
constexpr std::uint64_t pauseRangeMs = 900;
constexpr std::uint64_t restartDelayRangeMs = 300;

Deadline after(Milliseconds time) { return Deadline::after(std::chrono::steady_clock::now(), time); }

} // namespace

ProcessSupervisor::ProcessSupervisor(const Context& context, const RunParameters& parameters)
    : context_(context)
    , parameters_(parameters)
{
}

void ProcessSupervisor::adopt(std::size_t routers, std::size_t agents)
{
    for (std::size_t index = 0; index < agents; ++index) {
        if (index < 2)
            slots_.push_back({ Role::Agent, index });
        else
            startAgent(index);
    }
    for (std::size_t index = 0; index < routers; ++index) {
        slots_.push_back({ Role::Router, index });
        if (index > 0)
            start(slots_.back());
        else
            context_.balancer.setRouter(index, context_.fleet.callers(index), context_.fleet.readiness(index));
    }
}

void ProcessSupervisor::startAgent(std::size_t index)
{
    slots_.push_back({ Role::Agent, index });
    start(slots_.back());
}

void ProcessSupervisor::start(Slot& slot)
{
    if (slot.role == Role::Agent) {
        context_.fleet.startAgent(slot.index);
    } else {
        context_.fleet.startRouter(slot.index);
        context_.balancer.setRouter(
            slot.index, context_.fleet.callers(slot.index), context_.fleet.readiness(slot.index));
    }
    slot.state = State::Serving;
    context_.runLog.endFaults(slot.faults);
}

const ProcessSupervisor::Slot* ProcessSupervisor::find(Role role, std::size_t index) const
{
    const auto found = std::find_if(
        slots_.begin(), slots_.end(), [&](const Slot& slot) { return slot.role == role && slot.index == index; });
    return found == slots_.end() ? nullptr : &*found;
}

ProcessSupervisor::Slot& ProcessSupervisor::slot(Role role, std::size_t index)
{
    return slots_.at(static_cast<std::size_t>(find(role, index) - slots_.data()));
}

testsupport::ChildProcess& ProcessSupervisor::process(const Slot& slot)
{
    return slot.role == Role::Router ? context_.fleet.router(slot.index) : context_.fleet.agent(slot.index);
}

/// Requests don't pass through agents, so that their faults excuse nothing.
void ProcessSupervisor::beginFault(Slot& slot)
{
    if (slot.role == Role::Router)
        context_.runLog.beginFault(slot.faults, FaultScope::router(slot.index));
}

std::size_t ProcessSupervisor::count(Role role) const
{
    return static_cast<std::size_t>(
        std::count_if(slots_.begin(), slots_.end(), [role](const Slot& slot) { return slot.role == role; }));
}

bool ProcessSupervisor::isServing(Role role, std::size_t index) const
{
    const Slot* const found = find(role, index);
    return found && found->state == State::Serving;
}

std::size_t ProcessSupervisor::servingCount(Role role) const
{
    return static_cast<std::size_t>(std::count_if(slots_.begin(), slots_.end(),
        [role](const Slot& slot) { return slot.role == role && slot.state == State::Serving; }));
}

void ProcessSupervisor::terminate(Role role, std::size_t index)
{
    if (!isServing(role, index))
        return;
    Slot& ended = slot(role, index);
    context_.runLog.note("SIGTERM " + process(ended).name());
    process(ended).sendSignal(SIGTERM);
    ended.state = State::Ending;
    ended.endsBy = after(parameters_.grace + terminationMargin);
}

void ProcessSupervisor::retire(Role role, std::size_t index)
{
    terminate(role, index);
    slot(role, index).comesBack = false;
}

void ProcessSupervisor::reload(Role role, std::size_t index)
{
    const Slot& reloaded = slot(role, index);
    if (reloaded.state == State::Down || reloaded.state == State::Retired)
        return;
    context_.runLog.note("SIGHUP " + process(reloaded).name());
    process(reloaded).sendSignal(SIGHUP);
}

void ProcessSupervisor::kill(Role role, std::size_t index)
{
    Slot& killed = slot(role, index);
    if (killed.state == State::Down || killed.state == State::Retired)
        return;
    context_.runLog.note("SIGKILL " + process(killed).name());
    beginFault(killed);
    process(killed).kill();
    scheduleStart(killed);
    killed.state = killed.comesBack ? State::Down : State::Retired;
}

void ProcessSupervisor::killAll(Role role)
{
    for (std::size_t index = 0; index < count(role); ++index)
        kill(role, index);
}

void ProcessSupervisor::pause(Role role, std::size_t index)
{
    Slot& paused = slot(role, index);
    if (paused.state == State::Down || paused.state == State::Retired || std::exchange(paused.isPaused, true))
        return;
    const std::string name = process(paused).name();
    context_.runLog.note("SIGSTOP " + name);
    beginFault(paused);
    process(paused).sendSignal(SIGSTOP);
    context_.scheduler.schedule(context_.runLog.drawDuration(minPauseMs, pauseRangeMs), [this, role, index, name] {
        Slot& continued = slot(role, index);
        continued.isPaused = false;
        // The process may have been killed and a new one started in its place.
        if (process(continued).name() != name)
            return;
        context_.runLog.note("SIGCONT " + name);
        process(continued).sendSignal(SIGCONT);
        context_.runLog.endFaults(continued.faults);
    });
}

void ProcessSupervisor::scheduleStart(const Slot& ended)
{
    if (!ended.comesBack)
        return;
    context_.scheduler.schedule(context_.runLog.drawDuration(0, restartDelayRangeMs),
        [this, role = ended.role, index = ended.index] { start(slot(role, index)); });
}

void ProcessSupervisor::poll()
{
    for (Slot& slot : slots_) {
        if (slot.state == State::Serving || slot.state == State::Ending)
            pollSlot(slot);
    }
}

void ProcessSupervisor::pollSlot(Slot& slot)
{
    if (!process(slot).isRunning())
        return didEnd(slot);
    if (slot.state != State::Ending || !slot.endsBy.hasPassed(std::chrono::steady_clock::now()))
        return;
    context_.runLog.fail(process(slot).name() + " did not end after SIGTERM:\n" + process(slot).log());
    kill(slot.role, slot.index);
}

void ProcessSupervisor::didEnd(Slot& slot)
{
    const int code = process(slot).waitForExit();
    const std::string name = process(slot).name();
    if (slot.state == State::Serving)
        context_.runLog.fail(
            name + " exited unexpectedly with status " + std::to_string(code) + ":\n" + process(slot).log());
    else if (code != 0)
        context_.runLog.fail(name + " did not shut down gracefully, but exited with status " + std::to_string(code));
    context_.runLog.note("ended: " + name);
    scheduleStart(slot);
    slot.state = slot.comesBack ? State::Down : State::Retired;
}

bool ProcessSupervisor::areAllServing() const
{
    return std::all_of(slots_.begin(), slots_.end(),
        [](const Slot& slot) { return slot.state == State::Serving || slot.state == State::Retired; });
}

} // namespace lagoon::soak
