#pragma once

#include "fleet/fleet.h"
#include "fleet/streamevents.h"
#include "soak/loadbalancer.h"
#include "soak/runlog.h"
#include "soak/soaksettings.h"

#include <atomic>
#include <map>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::soak {

/// Callers that leave their streams at any event, or lose them, and take them up at any router until they have all
/// events.
///
/// Checks that each stream holds events of one software version only, in order. A try that is refused as not run must
/// not have run.
class ResumingCallers {
public:
    ResumingCallers(const SoakSettings&, const RunParameters&, const LoadBalancer&);
    ~ResumingCallers();
    ResumingCallers(const ResumingCallers&) = delete;
    ResumingCallers& operator=(const ResumingCallers&) = delete;

    void stop();
    /// Reports violations, and notes how many streams began and how many of those taken up went on.
    void check(fleet::Fleet&, RunLog&);

private:
    /// One stream over all tries.
    struct Stream {
        std::string attempt;
        fleet::ReceivedStream received;
        /// The status of each try; 0 if no answer began.
        std::map<std::string, int> tries;
    };
    struct Counts {
        int asked = 0;
        int began = 0;
        int takenUp = 0;
        int wentOn = 0;
        int refused = 0;
    };

    void callLoop(std::size_t number);
    void receive(Stream&, std::mt19937_64&);
    void tryOnce(Stream&, const std::string& attempt, const std::string& router, std::mt19937_64&);

    const SoakSettings settings_;
    const RunParameters parameters_;
    const LoadBalancer& balancer_;
    std::atomic<bool> isStopping_ { false };
    std::mutex mutex_;
    Counts counts_;
    std::vector<Stream> streams_;
    std::vector<std::thread> threads_;
};

} // namespace lagoon::soak
