#pragma once

#include <atomic>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::demo {

/// The results of a caller's completions.
struct TrafficCount {
    std::size_t sent = 0;
    /// Calls that got the complete answer to their own prompt.
    std::size_t answered = 0;
    /// The prompt of each other call and what was received instead.
    std::vector<std::string> faults;
    std::vector<std::string> prompts;
};

/// A caller that sends one completion after another, each with a unique prompt, on a thread of its own until it is
/// stopped.
class Traffic {
public:
    Traffic(std::string name, std::string callers, std::vector<std::string> models);
    ~Traffic();
    Traffic(const Traffic&) = delete;
    Traffic& operator=(const Traffic&) = delete;

    std::size_t answered() const { return answered_; }
    /// Waits for the end of the call in progress and returns the results.
    TrafficCount stop();

private:
    void run();
    void callOnce();

    const std::string name_;
    const std::string callers_;
    const std::vector<std::string> models_;
    std::atomic<bool> isStopped_ { false };
    std::atomic<std::size_t> answered_ { 0 };
    /// Accessed only by the thread until it has ended.
    TrafficCount count_;
    std::thread thread_;
};

} // namespace lagoon::demo
