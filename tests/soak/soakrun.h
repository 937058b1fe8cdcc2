#pragma once

#include "soak/plannedwork.h"
#include "soak/promises.h"
#include "soak/strikes.h"

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
    const std::vector<std::string>& notes() const { return journal_.notes(); }

private:
    void prepareFleet();
    /// Goes on with what is under way.
    void attend(framework::Milliseconds time);
    void disturb();
    void waitUntilBack();
    void waitUntilServed();
    bool isServed(const std::string& kind, std::size_t router, int probe);

    const SoakSettings settings_;
    const RunTerms terms_;
    fleet::Fleet& fleet_;
    Journal journal_;
    Agenda agenda_;
    Rotation rotation_;
    Processes processes_;
    std::optional<Strikes> strikes_;
    SoakReport report_;
};

} // namespace lagoon::soak
