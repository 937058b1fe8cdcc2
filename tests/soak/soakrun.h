#pragma once

#include "soak/faultinjector.h"
#include "soak/invariantchecker.h"
#include "soak/plannedoperations.h"

#include <memory>

namespace lagoon::soak {

/// Routers and agents as real processes between stand-ins, callers that keep their connections, and work and faults
/// from outside the processes that follow from the seed and overlap.
///
/// Checked from what callers and servers see: what must not run twice runs once at most; what is refused as not run
/// hasn't run; what looks whole is whole and the right answer; what a router has read is answered or refused unless
/// something unplanned struck; engines are never ordered beyond what fits; no process ends by itself, and each ends in
/// order when it is told to; and all is served again soon after the last fault.
class SoakRun {
public:
    explicit SoakRun(const SoakSettings&);
    SoakReport run();
    /// What was done, in order.
    const std::vector<std::string>& notes() const { return runLog_.notes(); }

private:
    void prepareFleet();
    /// Goes on with what is under way.
    void pollFor(framework::Milliseconds time);
    void runOperationsAndFaults();
    void waitForProcesses();
    void waitUntilServed();
    bool isServed(const std::string& kind, std::size_t router, int probe);

    const SoakSettings settings_;
    const RunParameters parameters_;
    fleet::Fleet& fleet_;
    RunLog runLog_;
    ActionScheduler scheduler_;
    LoadBalancer balancer_;
    ProcessSupervisor supervisor_;
    std::optional<FaultInjector> faultInjector_;
    SoakReport report_;
};

} // namespace lagoon::soak
