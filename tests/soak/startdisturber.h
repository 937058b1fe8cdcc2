#pragma once

#include "soak/processsupervisor.h"

namespace lagoon::soak {

/// Restarts processes while what their starts need comes late or is half there: a port that another socket holds,
/// settings that are missing or half written, the store; and signals and former processes that meet a start.
class StartDisturber {
public:
    StartDisturber(fleet::Fleet&, ActionScheduler&, RunLog&, ProcessSupervisor&);

    /// Disturbs the next start of one process.
    void disturbOne();

private:
    struct Chosen {
        Role role = Role::Router;
        std::size_t index = 0;
    };

    void holdPort(const Chosen&);
    void damageSettings(const Chosen&, fleet::Fleet::SettingsState);
    void takeStoreAway(const Chosen&);
    void signalStart(const Chosen&);
    framework::Milliseconds drawDelay();

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    ProcessSupervisor& supervisor_;
    ActiveFaults storeFaults_;
};

} // namespace lagoon::soak
