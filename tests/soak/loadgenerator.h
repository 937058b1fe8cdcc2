#pragma once

#include "soak/caller.h"
#include "soak/loadbalancer.h"
#include "soak/soaksettings.h"

#include <atomic>
#include <mutex>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::soak {

/// One request of a run.
struct SentRequest {
    std::string attempt;
    std::string kind;
    std::size_t router = 0;
    framework::SteadyTime connectedAt {};
    Outcome outcome;
};

/// The prefixes of the routes that are asked for.
inline const std::vector<std::string> requestKinds { "/get/", "/post/", "/model/", "/resume/" };

bool isRetryable(const std::string& kind);
bool isStream(const std::string& kind);

/// The callers of a run, a thread each. They go on using their connections also after their router was told to end.
class LoadGenerator {
public:
    LoadGenerator(const SoakSettings&, const RunParameters&, const LoadBalancer&);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    /// Ends the callers after their requests under way.
    std::vector<SentRequest> stop();

private:
    void callLoop(std::size_t number);
    std::string drawRequest(SentRequest&, std::mt19937_64&) const;

    const SoakSettings& settings_;
    const RunParameters& parameters_;
    const LoadBalancer& balancer_;
    std::atomic<bool> isStopping_ { false };
    std::mutex mutex_;
    std::vector<SentRequest> sent_;
    std::vector<std::thread> threads_;
};

} // namespace lagoon::soak
