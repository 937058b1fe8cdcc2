#pragma once

#include "fleet/fleet.h"
#include "soak/actionscheduler.h"
#include "soak/runlog.h"

#include <cstddef>
#include <set>
#include <string>

namespace lagoon::soak {

/// Lets the store and engines answer reads with proper JSON that takes many times its size in memory once it is parsed.
/// Each does so for a while, and several may do so at the same time.
class HostilePeers {
public:
    HostilePeers(fleet::Fleet&, ActionScheduler&, RunLog&);
    HostilePeers(const HostilePeers&) = delete;
    HostilePeers& operator=(const HostilePeers&) = delete;

    /// May let one more peer begin. Its end is scheduled.
    void perform();
    /// Checks that processes have read such answers.
    void check() const;

private:
    void begin(std::size_t peer, std::size_t bytes);
    void setAnswer(std::size_t peer, const std::string& text);
    std::string nameOf(std::size_t peer);

    fleet::Fleet& fleet_;
    ActionScheduler& scheduler_;
    RunLog& runLog_;
    /// The store is peer 0, and engines follow.
    std::set<std::size_t> hostile_;
    int storeSeries_ = 0;
    int engineSeries_ = 0;
};

} // namespace lagoon::soak
