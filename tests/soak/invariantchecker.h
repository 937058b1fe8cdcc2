#pragma once

#include "fleet/fleet.h"
#include "soak/loadgenerator.h"
#include "soak/runlog.h"

namespace lagoon::soak {

/// Checks a run's requests against the invariants listed at `SoakRun`, using what callers and servers observed.
class InvariantChecker {
public:
    InvariantChecker(fleet::Fleet&, RunLog&, SoakReport&);

    void check(const SentRequest&);
    void checkEngines();

private:
    int runsOf(const std::string& attempt) const;
    std::string describe(const SentRequest&, int runs) const;
    void checkRuns(const SentRequest&, int runs);
    void checkContent(const SentRequest&, int runs);
    bool isClosedUnread(const SentRequest&, int runs) const;
    FailedRequest failureOf(const SentRequest&) const;
    void checkAnswered(const SentRequest&, int runs);
    void fail(const std::string& invariant, const SentRequest&, int runs);

    fleet::Fleet& fleet_;
    RunLog& runLog_;
    SoakReport& report_;
};

} // namespace lagoon::soak
