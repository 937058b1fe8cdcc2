#pragma once

#include "fleet/fleet.h"
#include "soak/clients.h"
#include "soak/journal.h"

namespace lagoon::soak {

/// Judges a run's requests from what callers and servers saw.
class Promises {
public:
    Promises(fleet::Fleet&, Journal&, SoakReport&);

    void check(const Sent&);
    void checkEngines();

private:
    int runsOf(const std::string& attempt) const;
    std::string textOf(const Sent&, int runs) const;
    void checkRuns(const Sent&, int runs);
    void checkContent(const Sent&, int runs);
    bool isClosedUnread(const Sent&, int runs) const;
    void checkAnswered(const Sent&, int runs);
    void fail(const std::string& promise, const Sent&, int runs);

    fleet::Fleet& fleet_;
    Journal& journal_;
    SoakReport& report_;
};

} // namespace lagoon::soak
