#pragma once

#include "fleet/fleet.h"
#include "soak/runlog.h"

#include <cstddef>
#include <vector>

namespace lagoon::soak {

/// Makes servers name limits of requests, and changes them now and then.
///
/// Checks that each limited server gets no more requests than it is promised, whatever happens to the processes. The
/// bound holds anew after each change.
class LimitNamer {
public:
    LimitNamer(fleet::Fleet&, RunLog&);
    LimitNamer(const LimitNamer&) = delete;
    LimitNamer& operator=(const LimitNamer&) = delete;

    /// May change a limit.
    void perform();
    /// Ends all limits.
    void stop();
    void check() const;

private:
    /// A server's limit from one time to another.
    struct Period {
        fleet::ServerStandin* server = nullptr;
        double perSecond = 0;
        framework::SteadyTime from {};
        framework::SteadyTime to {};
    };

    void set(std::size_t index, double perSecond);
    void end(Period&);

    fleet::Fleet& fleet_;
    RunLog& runLog_;
    std::vector<Period> current_;
    std::vector<Period> ended_;
};

} // namespace lagoon::soak
