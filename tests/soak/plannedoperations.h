#pragma once

#include "soak/processsupervisor.h"

namespace lagoon::soak {

/// What operators and the platform do on purpose: routers and agents ended in order, alone and in series, reloads,
/// changes of the configuration, engines that come empty and leave.
class PlannedOperations {
public:
    PlannedOperations(fleet::Fleet&, ActionScheduler&, RunLog&, ProcessSupervisor&, const RunParameters&);

    /// One piece of work; parts of it may come later.
    void performOne();
    /// Whether the engine has come and hasn't said that it leaves.
    bool isListed(std::size_t engine) const;
    /// Finds requests that reached an engine too long after the store was told that it leaves. For runs whose store is
    /// never disturbed.
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
};

} // namespace lagoon::soak
