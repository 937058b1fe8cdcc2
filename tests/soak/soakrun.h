#pragma once

#include "soak/crowdcallers.h"
#include "soak/customercallers.h"
#include "soak/faultinjector.h"
#include "soak/hostilepeers.h"
#include "soak/invariantchecker.h"
#include "soak/limitnamer.h"
#include "soak/plannedoperations.h"
#include "soak/poisonsender.h"
#include "soak/resumingcallers.h"
#include "soak/startdisturber.h"

#include <memory>

namespace lagoon::soak {

/// Runs routers and agents as real processes between stand-ins, with callers that keep their connections. Operations
/// and faults follow from the seed, come from outside the processes, and may overlap.
///
/// Checks these invariants from what callers and servers observe:
/// - a request that must not be repeated runs at most once
/// - a request that is refused as not run has not run
/// - an answer that looks complete is complete and belongs to its request
/// - a request that a router has read is answered or refused, unless a fault acted on its router, or its server or the
///   link to it failed in the middle of its answer
/// - engines never receive orders beyond their capacity
/// - no process ends without a signal, also if what its start needs comes late, and each shuts down gracefully after
/// SIGTERM
/// - no process uses more memory than its machine has, with bytes that it received and hasn't read
/// - a request that crashes its servers is refused after three crashes, also if other servers bear it
/// - a stream holds events of one software version only, also over several tries of its caller
/// - servers get the right customer's name and never a key; an unknown key never runs
/// - a customer's quota is kept over all routers, and one that stays well below it isn't refused
/// - no process needs more memory than its machine has, whatever the store and engines answer and clients send
/// - all kinds of requests are served again soon after the last fault
class SoakRun {
public:
    explicit SoakRun(const SoakSettings&);
    SoakReport run();
    /// The operations and faults, in order.
    const std::vector<std::string>& notes() const { return runLog_.notes(); }

private:
    void prepareFleet();
    /// Polls the processes and runs scheduled actions for the given time.
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
    std::optional<StartDisturber> startDisturber_;
    std::optional<PoisonSender> poisonSender_;
    std::optional<LimitNamer> limitNamer_;
    std::optional<ResumingCallers> resumingCallers_;
    std::optional<CustomerCallers> customerCallers_;
    std::optional<HostilePeers> hostilePeers_;
    std::optional<CrowdCallers> crowdCallers_;
    SoakReport report_;
};

} // namespace lagoon::soak
