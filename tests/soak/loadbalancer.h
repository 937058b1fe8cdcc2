#pragma once

#include <condition_variable>
#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::soak {

/// Chooses the router for a new connection, as a load balancer in front of the routers does: it checks each router's
/// readiness once a second, and ejects a router after two failed checks in a row until a check succeeds. While fewer
/// than half of the routers are healthy, it uses all of them.
class LoadBalancer {
public:
    explicit LoadBalancer(std::size_t routers);
    ~LoadBalancer();
    LoadBalancer(const LoadBalancer&) = delete;
    LoadBalancer& operator=(const LoadBalancer&) = delete;

    /// Sets the endpoints of a router that has been started.
    void setRouter(std::size_t index, const std::string& callers, const std::string& readiness);

    struct Choice {
        std::size_t router = 0;
        std::string endpoint;
    };
    /// Returns std::nullopt while no router has been set.
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
