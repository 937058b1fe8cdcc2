#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::demo {

/// What became of a caller's completions.
struct TrafficCount {
    std::size_t sent = 0;
    /// Each with the whole answer to its own prompt.
    std::size_t answered = 0;
    /// Each other call: its prompt and what came instead.
    std::vector<std::string> faults;
    std::vector<std::string> prompts;
};

/// One caller that sends a completion after the other, each with a prompt of its own, until it is stopped.
class Traffic {
public:
    Traffic(std::string name, std::string callers, std::vector<std::string> models);
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    std::size_t answered() const { return answered_; }
    /// Lets the call under way end.
    TrafficCount stop();

private:
    void run();
    void callOnce();

    const std::string name_;
    const std::string callers_;
    const std::vector<std::string> models_;
    std::atomic<bool> isStopped_ { false };
    std::atomic<std::size_t> answered_ { 0 };
    /// Of the thread's own until it has ended.
    TrafficCount count_;
    std::thread thread_;
};

} // namespace lagoon::demo
