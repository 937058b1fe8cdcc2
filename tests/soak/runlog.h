#pragma once

#include "framework/types/time.h"

#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lagoon::soak {

/// Faults that last, as the journal numbers them.
using ActiveFaults = std::vector<std::size_t>;

/// What a run did and found, and its chance: all of it on the run's main thread.
class RunLog {
public:
    RunLog(std::uint64_t seed, bool isVerbose);

    std::uint64_t draw(std::uint64_t bound) { return random_() % bound; }
    framework::Milliseconds drawDuration(std::uint64_t min, std::uint64_t range);

    /// A piece of work or a fault.
    void note(const std::string& what);
    void fail(const std::string& what) { violations_.push_back(what); }
    /// Something unplanned at one router, or at what all share; it lasts until `endFaults`.
    void beginFault(ActiveFaults& active, std::optional<std::size_t> router);
    void endFaults(ActiveFaults& active);
    /// Whether something unplanned struck the router or what all share, from some seconds before `from` to `to`.
    bool hadFault(std::size_t router, framework::SteadyTime from, framework::SteadyTime to) const;

    const std::vector<std::string>& notes() const { return notes_; }
    const std::vector<std::string>& violations() const { return violations_; }
    /// Since the run's begin, for messages.
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
