#include "soak/loadbalancer.h"

#include "soak/caller.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

constexpr Milliseconds askEach { 1000 };
/// An answer that takes longer is a miss.
constexpr Milliseconds answerTime { 900 };
constexpr int missesUntilOut = 2;
const std::string question = "GET /ready HTTP/1.1\r\nHost: balancer\r\nConnection: close\r\n\r\n";

bool saysReady(const std::string& endpoint)
{
    Caller caller(answerTime);
    return caller.connect(endpoint) && caller.ask(question).status == 200;
}

} // namespace

LoadBalancer::LoadBalancer(std::size_t routers)
    : entries_(routers)
{
    for (std::size_t index = 0; index < routers; ++index)
        threads_.emplace_back([this, index] { askLoop(index); });
}

LoadBalancer::~LoadBalancer()
{
    {
        const std::lock_guard lock(mutex_);
        isOver_ = true;
    }
    ended_.notify_all();
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
    std::vector<Choice> in;
    std::vector<Choice> all;
    for (std::size_t index = 0; index < entries_.size(); ++index) {
        if (entries_[index].callers.empty())
            continue;
        all.push_back({ index, entries_[index].callers });
        if (entries_[index].isIn)
            in.push_back(all.back());
    }
    const std::vector<Choice>& used = 2 * in.size() < entries_.size() ? all : in;
    if (used.empty())
        return std::nullopt;
    return used[random() % used.size()];
}

void LoadBalancer::askLoop(std::size_t index)
{
    std::unique_lock lock(mutex_);
    // Questions to different routers are spread over the second.
    ended_.wait_for(lock, askEach * index / entries_.size(), [this] { return isOver_; });
    while (!isOver_) {
        Entry& entry = entries_[index];
        const std::string endpoint = entry.readiness;
        lock.unlock();
        const auto next = std::chrono::steady_clock::now() + askEach;
        const bool isReady = !endpoint.empty() && saysReady(endpoint);
        lock.lock();
        entry.misses = isReady ? 0 : entry.misses + 1;
        entry.isIn = isReady || (entry.isIn && entry.misses < missesUntilOut);
        ended_.wait_until(lock, next, [this] { return isOver_; });
    }
}

} // namespace lagoon::soak
