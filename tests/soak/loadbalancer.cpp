#include "soak/loadbalancer.h"

#include "soak/caller.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

constexpr Milliseconds checkInterval { 1000 };
/// A check that takes longer has failed.
constexpr Milliseconds checkTimeout { 900 };
constexpr int unhealthyThreshold = 2;
const std::string readinessRequest = "GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";

bool answersReady(const std::string& endpoint)
{
    Caller caller(checkTimeout);
    return caller.connect(endpoint) && caller.call(readinessRequest).status == 200;
}

} // namespace

LoadBalancer::LoadBalancer(std::size_t routers)
    : entries_(routers)
{
    for (std::size_t index = 0; index < routers; ++index)
        threads_.emplace_back([this, index] { healthCheckLoop(index); });
}

LoadBalancer::~LoadBalancer()
{
    {
        const std::lock_guard lock(mutex_);
        isStopping_ = true;
    }
    stopped_.notify_all();
    for (std::thread& thread : threads_)
        thread.join();
}

void LoadBalancer::setRouter(std::size_t index, const std::string& callers, const std::string& readiness)
{
    const std::lock_guard lock(mutex_);
    entries_[index].callers = callers;
    entries_[index].readiness = readiness;
}

std::optional<LoadBalancer::Choice> LoadBalancer::choose(std::mt19937_64& random) const
{
    const std::lock_guard lock(mutex_);
    std::vector<Choice> healthy;
    std::vector<Choice> known;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index].callers.empty())
            continue;
        known.push_back({ index, entries_[index].callers });
        if (entries_[index].isHealthy)
            healthy.push_back(known.back());
    }
    const std::vector<Choice>& candidates = 2 * healthy.size() < entries_.size() ? known : healthy;
    if (candidates.empty())
        return std::nullopt;
    return candidates[random() % candidates.size()];
}

void LoadBalancer::healthCheckLoop(std::size_t index)
{
    std::unique_lock lock(mutex_);
    // The checks of the routers are spread evenly over the interval.
    stopped_.wait_for(lock, checkInterval * index / entries_.size(), [this] { return isStopping_; });
    while (!isStopping_) {
        Entry& entry = entries_[index];
        const std::string endpoint = entry.readiness;
        lock.unlock();
        const auto next = std::chrono::steady_clock::now() + checkInterval;
        const bool isReady = !endpoint.empty() && answersReady(endpoint);
        lock.lock();
        entry.failedChecks = isReady ? 0 : entry.failedChecks + 1;
        entry.isHealthy = isReady || (entry.isHealthy && entry.failedChecks < unhealthyThreshold);
        stopped_.wait_until(lock, next, [this] { return isStopping_; });
    }
}

} // namespace lagoon::soak
