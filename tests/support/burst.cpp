#include "support/burst.h"

#include "support/record.h"

#include <map>

namespace lagoon::testsupport {

namespace {

/// The number of the last prompt, shared by all bursts of the test program, so that prompts are unique.
std::uint64_t lastPrompt = 0;

/// Adds the result of one call to the outcome. `executions` is how often the engines have executed its prompt.
void addOutcome(BurstOutcome& outcome, const std::string& prompt, const HttpAnswer& answer, std::size_t executions)
{
    const std::string execution = refusalField(answer, "execution");
    if (executions > 1)
        outcome.faults.push_back(prompt + ": executed " + std::to_string(executions) + " times");
    if (answer.isComplete() && answer.status == 200) {
        ++outcome.answered;
        if (completionText(answer) != prompt)
            outcome.faults.push_back(prompt + ": another answer: " + completionText(answer));
    } else if (execution == "not_run") {
        ++outcome.refusedNotRun;
        if (executions > 0)
            outcome.faults.push_back(prompt + ": executed, but refused as not run: " + answer.body);
    } else if (execution == "unknown") {
        ++outcome.refusedUnknown;
    } else if (answer.status == 200) {
        ++outcome.brokenOff;
    } else {
        outcome.faults.push_back(prompt + ": neither an answer nor a refusal: " + completionText(answer));
    }
}

} // namespace

void Burst::begin(
    const std::string& callers, const std::string& model, std::size_t calls, const CompletionOptions& options)
{
    CompletionOptions callOptions = options;
    callOptions.headers["X-Lagoon-Repeatable"] = "false";
    for (std::size_t index = 0; index < calls; ++index) {
        const std::string prompt = model + " question number " + std::to_string(++lastPrompt);
        calls_.push_back({ prompt, PendingCall(completionCall(callers, model, prompt, callOptions)) });
    }
}

BurstOutcome Burst::finish(const std::vector<std::string>& engines)
{
    for (Call& call : calls_)
        call.pending.answer();
    std::map<std::string, std::size_t> executions;
    for (const Execution& execution : executionsAt(engines))
        ++executions[execution.content];
    BurstOutcome outcome;
    for (Call& call : calls_)
        addOutcome(outcome, call.prompt, call.pending.answer(), executions[call.prompt]);
    return outcome;
}

} // namespace lagoon::testsupport
