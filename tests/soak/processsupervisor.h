#pragma once

#include "fleet/fleet.h"
#include "soak/actionscheduler.h"
#include "soak/loadbalancer.h"
#include "soak/runlog.h"
#include "soak/soaksettings.h"

#include <cstdint>
#include <vector>

namespace lagoon::soak {

enum class Role : std::uint8_t { Router, Agent };

/// Starts, signals and restarts the run's routers and agents; several may be ending or starting at the same time. To be
/// used on the main thread only, because a process is killed when the thread that started it ends.
class ProcessSupervisor {
public:
    struct Context {
        fleet::Fleet& fleet;
        ActionScheduler& scheduler;
        RunLog& runLog;
        LoadBalancer& balancer;
    };

    ProcessSupervisor(const Context&, const RunParameters&);

    /// Takes over the router and the two agents that the fleet has started, and starts the others.
    void adopt(std::size_t routers, std::size_t agents);
    void startAgent(std::size_t index);

    std::size_t count(Role) const;
    /// Whether the process is running and has not been told to terminate.
    bool isServing(Role, std::size_t index) const;
    std::size_t servingCount(Role) const;

    // `terminate` signals only a process that is serving; `reload`, `kill` and `pause` also one that is terminating.

    /// Sends SIGTERM.
    void terminate(Role, std::size_t index);
    /// Like `terminate`, but the process is not restarted.
    void retire(Role, std::size_t index);
    /// Sends SIGHUP.
    void reload(Role, std::size_t index);
    /// Sends SIGKILL and schedules a restart.
    void kill(Role, std::size_t index);
    /// Kills all processes of the role at the same moment.
    void killAll(Role);
    /// Sends SIGSTOP, and SIGCONT after a random time.
    void pause(Role, std::size_t index);

    /// Detects processes that have ended and schedules their restarts.
    void poll();
    /// Whether all processes are serving, except for retired ones.
    bool areAllServing() const;

private:
    enum class State : std::uint8_t { Serving, Ending, Down, Retired };
    struct Slot {
        Role role = Role::Router;
        std::size_t index = 0;
        State state = State::Serving;
        bool comesBack = true;
        bool isPaused = false;
        framework::Deadline endsBy {};
        ActiveFaults faults = {};
    };

    Slot& slot(Role, std::size_t index);
    const Slot* find(Role, std::size_t index) const;
    testsupport::ChildProcess& process(const Slot&);
    void beginFault(Slot&);
    void start(Slot&);
    void scheduleStart(const Slot&);
    void pollSlot(Slot&);
    void didEnd(Slot&);

    Context context_;
    const RunParameters& parameters_;
    std::vector<Slot> slots_;
};

} // namespace lagoon::soak
