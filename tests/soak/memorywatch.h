#pragma once

#include "fleet/fleet.h"
#include "soak/runlog.h"

#include <cstddef>
#include <map>
#include <string>

namespace lagoon::soak {

/// Checks that the resident memory of each process stays below the memory of the machine that it is deployed on.
class MemoryWatch {
public:
    MemoryWatch(fleet::Fleet&, RunLog&, std::size_t routers);

    /// Lets processes reserve any address space: a machine counts resident memory.
    static void limitProcesses(fleet::Fleet&);
    /// To be called often, so that processes are seen shortly before their ends too.
    void poll();
    void check() const;

private:
    void record(testsupport::ChildProcess&, double machineMb);

    struct Peak {
        double mb = 0;
        double machineMb = 0;
    };

    fleet::Fleet& fleet_;
    RunLog& runLog_;
    std::size_t routers_ = 0;
    /// By the names of processes, which are different after each start.
    std::map<std::string, Peak> peaks_;
};

} // namespace lagoon::soak
