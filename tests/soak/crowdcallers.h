#pragma once

#include "fleet/fleet.h"
#include "soak/actionscheduler.h"
#include "soak/processsupervisor.h"
#include "soak/runlog.h"
#include "support/crowd.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

namespace lagoon::soak {

/// Sends crowds of clients that don't behave to the ports of routers and agents. Each stays for a while, and several
/// may stay at the same time.
class CrowdCallers {
public:
    CrowdCallers(fleet::Fleet&, ActionScheduler&, RunLog&, ProcessSupervisor&, std::size_t routers);
    CrowdCallers(const CrowdCallers&) = delete;
    CrowdCallers& operator=(const CrowdCallers&) = delete;

    /// May let more crowds begin. Their ends are scheduled.
    void perform();
    /// Checks that routers have refused such clients.
    void check() const;

private:
    struct Port {
        std::string name;
        std::string endpoint;
        bool isLink = false;
    };

    void begin();
    /// The port of a process that serves; with an empty endpoint if the drawn process doesn't.
    Port drawPort();
    testsupport::CrowdMessage drawMessage(const Port&);

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    ProcessSupervisor& supervisor_;
    const std::size_t routers_;
    std::map<std::uint64_t, std::unique_ptr<testsupport::Crowd>> crowds_;
    std::uint64_t begun_ = 0;
};

} // namespace lagoon::soak
