#pragma once

#include "framework/types/time.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoon::soak {

/// Indices into the run log's faults, of faults that have not ended.
using ActiveFaults = std::vector<std::size_t>;

/// Records what a run did and which invariants were violated, and draws its random numbers. To be used on the run's
/// main thread only.
class RunLog {
public:
    RunLog(std::uint64_t seed, bool isVerbose);

    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
    framework::Milliseconds drawDuration(std::uint64_t min, std::uint64_t range);

    /// Records an operation or a fault.
    void note(const std::string& what);
    void fail(const std::string& what) { violations_.push_back(what); }
    /// Records a fault that affects one router or, with std::nullopt, all of them. It lasts until `endFaults`.
    void beginFault(ActiveFaults& active, std::optional<std::size_t> router);
    void endFaults(ActiveFaults& active);
    /// Whether a fault affected the router between `from` and `to`, or ended less than the recovery time before `from`.
    bool hadFault(std::size_t router, framework::SteadyTime from, framework::SteadyTime to) const;

    const std::vector<std::string>& notes() const { return notes_; }
    const std::vector<std::string>& violations() const { return violations_; }
    /// The time since the start of the run, for messages.
    std::string elapsedText(framework::SteadyTime) const;

private:
    struct Fault {
        std::optional<std::size_t> router;
        framework::SteadyTime from {};
        std::optional<framework::SteadyTime> until;
    };

    framework::SteadyTime begunAt_;
    std::mt19937_64 random_;
    bool isVerbose_;
    std::vector<std::string> notes_;
    std::vector<std::string> violations_;
    std::vector<Fault> faults_;
};

} // namespace lagoon::soak
