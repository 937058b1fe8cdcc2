#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::soak {

/// Which routers get new connections, as a balancer in front of them decides: it asks each router once a second whether
/// it is ready, and takes it out after two failed questions in a row until one succeeds. While fewer than half are in,
/// it uses all.
class LoadBalancer {
public:
    explicit LoadBalancer(std::size_t routers);
    ~LoadBalancer();
    LoadBalancer(const LoadBalancer&) = delete;
    LoadBalancer& operator=(const LoadBalancer&) = delete;

    /// Where a router is reached from now on.
    void setRouter(std::size_t index, const std::string& callers, const std::string& readiness);

    struct Choice {
        std::size_t router = 0;
        std::string endpoint;
    };
    /// Nothing while no router has been set.
    std::optional<Choice> choose(std::mt19937_64&) const;

private:
    struct Entry {
        std::string callers;
        std::string readiness;
        int failedChecks = 0;
        bool isHealthy = false;
    };

    void healthCheckLoop(std::size_t index);

    mutable std::mutex mutex_;
    std::condition_variable stopped_;
    bool isStopping_ = false;
    std::vector<Entry> entries_;
    std::vector<std::thread> threads_;
};

} // namespace lagoon::soak
