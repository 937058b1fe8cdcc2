#pragma once

#include "soak/processsupervisor.h"

namespace lagoon::soak {

/// Performs what operators and the platform do on purpose: graceful shutdowns of routers and agents, alone and in
/// series, reloads, configuration changes, and engines that are added without models and removed.
class PlannedOperations {
public:
    PlannedOperations(fleet::Fleet&, ActionScheduler&, RunLog&, ProcessSupervisor&, const RunParameters&);

    /// Performs one random operation. Parts of it may be scheduled for later.
    void performOne();
    /// Ends an engine and starts one with other software at its address, under a new id and with the model "warm". Does
    /// nothing if the drawn engine is reached through a proxy.
    void replaceEngine();
    /// Whether the engine has been added and its removal has not begun.
    bool isListed(std::size_t engine) const;
    /// Reports engines that still received requests longer than `leavingNotice` after the store showed that they leave.
    /// Only valid for runs without faults of the store.
    void checkRemovedEngines() const;

private:
    struct Removal {
        std::size_t engine = 0;
        framework::SteadyTime at {};
    };

    void terminateRouters();
    void terminateAgents();
    void reloadProcesses();
    void changeConfiguration();
    void addEngine();
    void removeEngine();

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    ProcessSupervisor& supervisor_;
    const RunParameters& parameters_;
    std::vector<std::size_t> listed_ { 0, 1 };
    std::vector<Removal> removals_;
    std::size_t maxEngines_ = 0;
    bool hasNewRoute_ = false;
    int replacedEngines_ = 0;
};

} // namespace lagoon::soak
