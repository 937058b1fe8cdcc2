#pragma once

#include "support/callers.h"

#include <cstdint>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// How the calls of a burst ended.
struct BurstOutcome {
    std::size_t answered = 0;
    std::size_t refusedNotRun = 0;
    std::size_t refusedUnknown = 0;
    /// Began and broke off.
    std::size_t brokenOff = 0;
    /// What was wrong: another call's answer, a "not run" that was executed, a call executed twice, no end at all.
    std::vector<std::string> faults;
};

/// Many completions at once, each with a prompt of its own among all bursts. Begin them on one thread.
class Burst {
public:
    /// Begins so many calls at the router. They may not be repeated.
    void begin(const std::string& callers, const std::string& model, std::size_t calls, const CompletionOptions& = {});
    std::size_t size() const { return calls_.size(); }

    /// Waits for all ends and holds them against what the engines executed.
    BurstOutcome finish(const std::vector<std::string>& engines);

private:
    struct Call {
        std::string prompt;
        PendingCall pending;
    };
    std::vector<Call> calls_;
};

} // namespace lagoon::testsupport
