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

/// The run's routers and agents: signals to them, their ends and new starts, which overlap. Main thread only: a process
/// dies with the thread that started it.
class ProcessSupervisor {
public:
    struct Dependencies {
        fleet::Fleet& fleet;
        ActionScheduler& scheduler;
        RunLog& runLog;
        LoadBalancer& balancer;
    };

    ProcessSupervisor(const Dependencies&, const RunParameters&);

    /// Takes over the fleet's first router and agents, and starts the others.
    void adopt(std::size_t routers, std::size_t agents);
    void startAgent(std::size_t index);

    std::size_t count(Role) const;
    /// Runs, and wasn't told to end.
    bool isServing(Role, std::size_t index) const;
    std::size_t servingCount(Role) const;

    /// All but `reload` do nothing unless the process serves; `kill` and `pause` also strike one that is ending.
    void terminate(Role, std::size_t index);
    /// As `terminate`, for good.
    void retire(Role, std::size_t index);
    void reload(Role, std::size_t index);
    void kill(Role, std::size_t index);
    void pause(Role, std::size_t index);

    /// Finds processes that have ended, and starts them again after a while.
    void poll();
    /// Whether all that should serve do.
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
    std::optional<std::size_t> routerOf(const Slot&) const;
    void start(Slot&);
    void scheduleStart(const Slot&);
    void pollSlot(Slot&);
    void didEnd(Slot&);

    Dependencies dependencies_;
    const RunParameters& parameters_;
    std::vector<Slot> slots_;
};

} // namespace lagoon::soak
