#pragma once

#include "fleet/fleet.h"
#include "soak/actionscheduler.h"
#include "soak/loadbalancer.h"
#include "soak/memorymeter.h"
#include "soak/runlog.h"
#include "soak/soaksettings.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <vector>

namespace lagoon::soak {

enum class Role : std::uint8_t { Router, Agent };

/// The memory of the machines, in bytes.
struct MachineMemory {
    std::uint64_t ofRouters = 260'000'000;
    std::uint64_t ofAgents = 192'000'000;

    std::uint64_t of(Role role) const { return role == Role::Router ? ofRouters : ofAgents; }
};

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

    /// Processes that use more than their machine's memory are killed, which violates an invariant.
    ProcessSupervisor(const Context&, const RunParameters&, const MachineMemory& = {});

    /// Sets the limits of the machines that processes are deployed on.
    static void limitProcesses(fleet::Fleet&);
    /// Leaves out the limits of address space, so that processes over their machines' memory are seen.
    static void limitDescriptors(fleet::Fleet&);
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

    /// Starts the next process of the role beside the one that is told to terminate.
    void replace(Role, std::size_t index);
    /// Sends the signal so long after the next start of the process: SIGTERM after the start of the process, SIGHUP
    /// after the start of its program, since it ends processes that do not run the program yet.
    void signalNextStart(Role, std::size_t index, int signal, std::chrono::microseconds delay);
    /// An endpoint that the process listens on, by its name in the ready line.
    std::string endpoint(Role, std::size_t index, const std::string& name);
    /// The most memory, in bytes, that a process of the role has used.
    std::uint64_t peakMemory(Role) const;

    /// Detects processes that have started, and those that have ended, and schedules their restarts.
    void poll();
    /// Whether all processes are serving, except for retired ones, and none still ends beside its successor.
    bool areAllServing() const;

private:
    enum class State : std::uint8_t { Starting, Serving, Ending, Down, Retired };
    struct Slot {
        Role role = Role::Router;
        std::size_t index = 0;
        State state = State::Serving;
        bool comesBack = true;
        bool isPaused = false;
        /// Ends the process if it is still starting or ending then.
        framework::Deadline finishesBy {};
        /// Starts in succession that failed.
        int failedStarts = 0;
        ActiveFaults faults = {};
        struct StartSignal {
            int number = 0;
            std::chrono::microseconds delay { 0 };
        };
        std::optional<StartSignal> startSignal = std::nullopt;
        /// Whether it was told to terminate before it was ready, when SIGTERM may end it at once.
        bool endsInStart = false;
    };
    /// A process that ends beside its successor.
    struct Former {
        Role role = Role::Router;
        std::unique_ptr<testsupport::ChildProcess> process;
        framework::Deadline finishesBy {};
    };

    Slot& slot(Role, std::size_t index);
    const Slot* find(Role, std::size_t index) const;
    testsupport::ChildProcess& process(const Slot&);
    void beginFault(Slot&);
    void start(Slot&);
    void scheduleStart(const Slot&);
    void pollSlot(Slot&);
    void pollFormers();
    void checkMemory();
    /// Whether the process uses more than its machine's memory.
    bool isOverMemory(Role, const testsupport::ChildProcess&);
    void sendStartSignal(Slot&);
    void didStart(Slot&);
    void didEnd(Slot&);
    void reportEnd(const Slot&, int code);

    Context context_;
    const RunParameters& parameters_;
    const MachineMemory memory_;
    MemoryMeter meter_;
    framework::Deadline nextMemoryCheck_ {};
    std::map<Role, std::uint64_t> peakMemory_;
    std::vector<Slot> slots_;
    std::vector<Former> formers_;
};

} // namespace lagoon::soak
