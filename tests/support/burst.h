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
    /// Answers that began and broke off.
    std::size_t brokenOff = 0;
    /// Errors: another call's answer, a call refused as "not run" but executed, a call executed twice, a call that
    /// ended with neither an answer nor a refusal.
    std::vector<std::string> faults;
};

/// Concurrent completions whose prompts are unique among all bursts of the test program. All bursts must be begun on
/// the same thread.
class Burst {
public:
    /// Begins this number of calls at the router. They are sent as not repeatable, so they must not be executed twice.
    void begin(const std::string& callers, const std::string& model, std::size_t calls, const CompletionOptions& = {});
    std::size_t size() const { return calls_.size(); }

    /// Waits until all calls have ended and checks them against the engines' records of executions.
    BurstOutcome finish(const std::vector<std::string>& engines);

private:
    struct Call {
        std::string prompt;
        PendingCall pending;
    };
    std::vector<Call> calls_;
};

} // namespace lagoon::testsupport
