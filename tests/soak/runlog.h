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
    RunLog(std::uint64_t seed, bool isLoud);

    std::uint64_t draw(std::uint64_t below) { return random_() % below; }
    framework::Milliseconds drawTime(std::uint64_t least, std::uint64_t more);

    /// A piece of work or a fault.
    void note(const std::string& what);
    void fail(const std::string& what) { broken_.push_back(what); }
    /// Something unplanned at one router, or at what all share; it lasts until `didHeal`.
    void didStrike(ActiveFaults& open, std::optional<std::size_t> router);
    void didHeal(ActiveFaults& open);
    /// Whether something unplanned struck the router or what all share, from some seconds before `from` to `to`.
    bool wasStruck(std::size_t router, framework::SteadyTime from, framework::SteadyTime to) const;

    const std::vector<std::string>& notes() const { return notes_; }
    const std::vector<std::string>& broken() const { return broken_; }
    /// Since the run's begin, for messages.
    std::string when(framework::SteadyTime) const;

private:
    struct Fault {
        std::optional<std::size_t> router;
        framework::SteadyTime from {};
        std::optional<framework::SteadyTime> until;
    };

    framework::SteadyTime begunAt_;
    std::mt19937_64 random_;
    bool isLoud_;
    std::vector<std::string> notes_;
    std::vector<std::string> broken_;
    std::vector<Fault> faults_;
};

} // namespace lagoon::soak
