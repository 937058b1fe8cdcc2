#include "soak/processsupervisor.h"

#include "support/waitfor.h"

#include <algorithm>
#include <csignal>
#include <sys/resource.h>
#include <thread>

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
constexpr Milliseconds memoryCheckInterval { 100 };
/// A process is not restarted after so many failed starts in succession.
constexpr int maxFailedStarts = 5;
constexpr rlim_t maxDescriptors = 4100;

testsupport::ProcessOptions limitedTo(rlim_t bytes)
{
    return { .limits = { { RLIMIT_AS, bytes }, { RLIMIT_NOFILE, maxDescriptors } } };
}

/// Whether the process's program has begun to load its libraries.
bool runsProgram(const testsupport::ChildProcess& process)
{
    const std::string maps = testsupport::readFile("/proc/" + std::to_string(process.pid()) + "/maps");
    return maps.find("liblagoonrouter.so") != std::string::npos;
}

std::string lastLinesOf(const std::string& output)
{
    constexpr std::size_t lines = 10;
    std::size_t begin = output.size();
    for (std::size_t line = 0; line <= lines && begin != std::string::npos && begin > 0; ++line)
        begin = output.rfind('\n', begin - 1);
    return begin == std::string::npos || begin == 0 ? output : output.substr(begin + 1);
}

Deadline after(Milliseconds time) { return Deadline::after(std::chrono::steady_clock::now(), time); }

} // namespace

ProcessSupervisor::ProcessSupervisor(
    const Context& context, const RunParameters& parameters, const MachineMemory& memory)
    : context_(context)
    , parameters_(parameters)
    , memory_(memory)
{
}

void ProcessSupervisor::limitProcesses(fleet::Fleet& fleet)
{
    const MachineMemory memory;
    fleet.setProcessOptions(limitedTo(memory.ofRouters), limitedTo(memory.ofAgents));
}

void ProcessSupervisor::limitDescriptors(fleet::Fleet& fleet)
{
    fleet.setProcessOptions({ .limits = { { RLIMIT_NOFILE, maxDescriptors } } });
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
    if (slot.role == Role::Agent)
        context_.fleet.launchAgent(slot.index);
    else
        context_.fleet.launchRouter(slot.index);
    slot.state = State::Starting;
    slot.finishesBy = after(testsupport::conditionTimeout);
    slot.endsInStart = false;
    if (slot.startSignal)
        sendStartSignal(slot);
}

void ProcessSupervisor::sendStartSignal(Slot& slot)
{
    const auto [number, delay] = *std::exchange(slot.startSignal, std::nullopt);
    testsupport::ChildProcess& started = process(slot);
    while (number == SIGHUP && started.isRunning() && !runsProgram(started)) { }
    std::this_thread::sleep_for(delay);
    context_.runLog.note("signal " + std::to_string(number) + " to " + started.name() + ", "
        + std::to_string(delay.count()) + " us after its start");
    if (number == SIGTERM) {
        slot.state = State::Ending;
        slot.endsInStart = true;
        slot.finishesBy = after(parameters_.grace + terminationMargin);
    }
    started.sendSignal(number);
}

void ProcessSupervisor::signalNextStart(Role role, std::size_t index, int signal, std::chrono::microseconds delay)
{
    slot(role, index).startSignal = Slot::StartSignal { signal, delay };
}

void ProcessSupervisor::replace(Role role, std::size_t index)
{
    if (!isServing(role, index))
        return;
    terminate(role, index);
    context_.runLog.note("replaced: " + process(slot(role, index)).name());
    formers_.push_back(
        { role, role == Role::Router ? context_.fleet.releaseRouter(index) : context_.fleet.releaseAgent(index),
            slot(role, index).finishesBy });
    start(slot(role, index));
}

std::string ProcessSupervisor::endpoint(Role role, std::size_t index, const std::string& name)
{
    return process(slot(role, index)).readyText(name);
}

void ProcessSupervisor::pollFormers()
{
    for (const Former& former : formers_) {
        testsupport::ChildProcess& process = *former.process;
        if (!process.isRunning() && process.waitForExit() != 0)
            context_.runLog.fail(process.name() + " did not shut down gracefully beside its successor:\n"
                + lastLinesOf(process.output()) + process.log());
        if (process.isRunning() && former.finishesBy.hasPassed(std::chrono::steady_clock::now())) {
            context_.runLog.fail(process.name() + " did not end beside its successor:\n" + process.log());
            process.kill();
        }
    }
    std::erase_if(formers_, [](const Former& former) { return !former.process->isRunning(); });
}

void ProcessSupervisor::didStart(Slot& slot)
{
    if (slot.role == Role::Router)
        context_.balancer.setRouter(
            slot.index, context_.fleet.callers(slot.index), context_.fleet.readiness(slot.index));
    slot.state = State::Serving;
    slot.failedStarts = 0;
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
    ended.finishesBy = after(parameters_.grace + terminationMargin);
}

void ProcessSupervisor::retire(Role role, std::size_t index)
{
    terminate(role, index);
    slot(role, index).comesBack = false;
}

void ProcessSupervisor::reload(Role role, std::size_t index)
{
    const Slot& reloaded = slot(role, index);
    if (reloaded.state != State::Serving && reloaded.state != State::Ending)
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
    if ((paused.state != State::Serving && paused.state != State::Ending) || std::exchange(paused.isPaused, true))
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
    checkMemory();
    pollFormers();
    for (Slot& slot : slots_) {
        if (slot.state != State::Down && slot.state != State::Retired)
            pollSlot(slot);
    }
}

void ProcessSupervisor::checkMemory()
{
    if (!nextMemoryCheck_.hasPassed(std::chrono::steady_clock::now()))
        return;
    nextMemoryCheck_ = after(memoryCheckInterval);
    meter_.sampleConnections();
    for (const Former& former : formers_) {
        if (isOverMemory(former.role, *former.process))
            former.process->kill();
    }
    for (const Slot& slot : slots_) {
        // A process that is starting may not run its program yet; the peak of its start is checked later.
        if ((slot.state != State::Serving && slot.state != State::Ending) || slot.endsInStart)
            continue;
        if (isOverMemory(slot.role, process(slot)))
            kill(slot.role, slot.index);
    }
}

bool ProcessSupervisor::isOverMemory(Role role, const testsupport::ChildProcess& process)
{
    const MemoryUse use = meter_.useOf(process.pid());
    peakMemory_[role] = std::max(peakMemory_[role], use.total());
    if (use.total() <= memory_.of(role))
        return false;
    context_.runLog.fail(process.name() + " used more memory than its machine has: " + std::to_string(use.peakResident)
        + " bytes resident and " + std::to_string(use.unread) + " received and unread");
    return true;
}

std::uint64_t ProcessSupervisor::peakMemory(Role role) const
{
    const auto found = peakMemory_.find(role);
    return found == peakMemory_.end() ? 0 : found->second;
}

void ProcessSupervisor::pollSlot(Slot& slot)
{
    if (!process(slot).isRunning())
        return didEnd(slot);
    if (slot.state == State::Starting && process(slot).isReady())
        return didStart(slot);
    if (slot.state == State::Serving || !slot.finishesBy.hasPassed(std::chrono::steady_clock::now()))
        return;
    const std::string what = slot.state == State::Ending ? " did not end after SIGTERM:\n" : " did not start:\n";
    context_.runLog.fail(process(slot).name() + what + process(slot).log());
    kill(slot.role, slot.index);
}

void ProcessSupervisor::didEnd(Slot& slot)
{
    reportEnd(slot, process(slot).waitForExit());
    context_.runLog.note("ended: " + process(slot).name());
    if (slot.state == State::Starting && ++slot.failedStarts == maxFailedStarts)
        slot.comesBack = false;
    scheduleStart(slot);
    slot.state = slot.comesBack ? State::Down : State::Retired;
}

void ProcessSupervisor::reportEnd(const Slot& slot, int code)
{
    testsupport::ChildProcess& ended = process(slot);
    const std::string status = " with status " + std::to_string(code);
    const std::string lastLines = ":\n" + lastLinesOf(ended.output()) + ended.log();
    if (slot.state == State::Serving)
        context_.runLog.fail(ended.name() + " exited unexpectedly" + status + lastLines);
    else if (slot.state == State::Starting)
        context_.runLog.fail(ended.name() + " ended during its start" + status + lastLines);
    else if (code != 0 && !(slot.endsInStart && code == -SIGTERM))
        context_.runLog.fail(ended.name() + " did not shut down gracefully, but exited" + status + lastLines);
}

bool ProcessSupervisor::areAllServing() const
{
    return formers_.empty() && std::all_of(slots_.begin(), slots_.end(), [](const Slot& slot) {
        return slot.state == State::Serving || slot.state == State::Retired;
    });
}

} // namespace lagoon::soak
