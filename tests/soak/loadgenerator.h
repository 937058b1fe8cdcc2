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

/// One request of a run and its outcome.
struct SentRequest {
    std::string attempt;
    /// One of `requestKinds`.
    std::string kind;
    std::size_t router = 0;
    framework::SteadyTime connectedAt {};
    Outcome outcome;
};

/// The path prefixes of the routes that are requested.
inline const std::vector<std::string> requestKinds { "/get/", "/post/", "/model/", "/resume/" };

/// Whether a request of the kind may run more than once.
bool isRetryable(const std::string& kind);
bool isStream(const std::string& kind);

/// Runs the callers, each on its own thread. A caller continues to use its connection after its router received
/// SIGTERM.
class LoadGenerator {
public:
    LoadGenerator(const SoakSettings&, const RunParameters&, const LoadBalancer&);
    ~LoadGenerator();
    LoadGenerator(const LoadGenerator&) = delete;
    LoadGenerator& operator=(const LoadGenerator&) = delete;

    /// Stops the callers after their requests in flight and returns all requests sent.
    std::vector<SentRequest> stop();

private:
    void callLoop(std::size_t number);
    /// Draws the kind of the request, sets it in `SentRequest`, and returns the text of the request.
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
