#pragma once

#include "soak/faultrecord.h"

#include <random>
#include <string>
#include <vector>

namespace lagoon::soak {

/// Faults that have not ended.
using ActiveFaults = std::vector<FaultRecord::Number>;

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
    /// Records a fault. It lasts until `endFaults`.
    void beginFault(ActiveFaults& active, const FaultScope&);
    void endFaults(ActiveFaults& active);
    const FaultRecord& faults() const { return faults_; }
    /// Whether, from the recovery time before `from` until `to`, no fault acted on the router or the store.
    bool wasInTouch(std::size_t router, framework::SteadyTime from, framework::SteadyTime to) const;

    const std::vector<std::string>& notes() const { return notes_; }
    const std::vector<std::string>& violations() const { return violations_; }
    /// The time since the start of the run, for messages.
    std::string elapsedText(framework::SteadyTime) const;

private:
    framework::SteadyTime begunAt_;
    std::mt19937_64 random_;
    bool isVerbose_;
    std::vector<std::string> notes_;
    std::vector<std::string> violations_;
    FaultRecord faults_;
};

} // namespace lagoon::soak
