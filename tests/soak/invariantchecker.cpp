#include "soak/invariantchecker.h"

#include "soak/standins.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// A request that meets its connection's close is on its way no longer than this, also on a busy machine.
constexpr Milliseconds maxCloseRace { 300 };

bool isNotRunStatus(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

/// As the log has it, so that no other attempt's name begins alike.
std::string quoted(const std::string& attempt) { return '"' + attempt + '"'; }

std::string endText(EndReason reason)
{
    switch (reason) {
    case EndReason::NotConnected:
        return "not connected";
    case EndReason::Answered:
        return "answered";
    case EndReason::Closed:
        return "closed";
    case EndReason::TimedOut:
        return "given up";
    }
    return "";
}

} // namespace

InvariantChecker::InvariantChecker(fleet::Fleet& fleet, RunLog& runLog, SoakReport& report)
    : fleet_(fleet)
    , runLog_(runLog)
    , report_(report)
{
}

int InvariantChecker::runsOf(const std::string& attempt) const
{
    int runs = fleet_.plain1.runs(attempt) + fleet_.plain2.runs(attempt);
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        runs += fleet_.engine(index).runs(attempt);
    return runs;
}

std::string InvariantChecker::describe(const SentRequest& sent, int runs) const
{
    return sent.kind + sent.attempt + " (" + std::to_string(sent.outcome.status) + ", "
        + endText(sent.outcome.endReason) + ", " + std::to_string(runs) + " runs) at router "
        + std::to_string(sent.router) + ", connected at " + runLog_.elapsedText(sent.connectedAt) + ", sent at "
        + runLog_.elapsedText(sent.outcome.sentAt) + ", ended at " + runLog_.elapsedText(sent.outcome.endedAt);
}

void InvariantChecker::fail(const std::string& invariant, const SentRequest& sent, int runs)
{
    runLog_.fail(invariant + ": " + describe(sent, runs) + "\n" + fleet_.logLinesContaining(quoted(sent.attempt)));
}

void InvariantChecker::check(const SentRequest& sent)
{
    const int runs = runsOf(sent.attempt);
    ++report_.requests;
    report_.served += sent.outcome.status == 200 && sent.outcome.isComplete() ? 1 : 0;
    report_.refused += isNotRunStatus(sent.outcome.status) ? 1 : 0;
    checkRuns(sent, runs);
    checkContent(sent, runs);
    checkAnswered(sent, runs);
}

void InvariantChecker::checkRuns(const SentRequest& sent, int runs)
{
    const int status = sent.outcome.status;
    if (!isRetryable(sent.kind) && runs > 1)
        fail("ran twice", sent, runs);
    if (!isRetryable(sent.kind) && isNotRunStatus(status) && runs > 0)
        fail("refused as not run, but ran", sent, runs);
    if (status == 404 || status == 400)
        fail("denied", sent, runs);
}

void InvariantChecker::checkContent(const SentRequest& sent, int runs)
{
    const Outcome& outcome = sent.outcome;
    if (outcome.status != 200)
        return;
    if (isStream(sent.kind) && outcome.isComplete() && outcome.body != expectedStream())
        fail("looks whole, but isn't", sent, runs);
    if (isStream(sent.kind) && !outcome.isComplete() && !expectedStream().starts_with(outcome.body))
        fail("events out of order", sent, runs);
    if (!isStream(sent.kind) && outcome.isComplete() && outcome.body.find(sent.attempt) == std::string::npos)
        fail("another request's answer", sent, runs);
}

bool InvariantChecker::isClosedUnread(const SentRequest& sent, int runs) const
{
    const Outcome& outcome = sent.outcome;
    return outcome.endReason == EndReason::Closed && outcome.status == 0 && runs == 0
        && outcome.endedAt - outcome.sentAt < maxCloseRace && fleet_.logLinesContaining(quoted(sent.attempt)).empty();
}

/// A whole request that a router has read gets a whole answer, and a failure only where a server failed, unless
/// something unplanned struck. What met the close of its connection may stay unread: then no server ran it, it was
/// closed just then, and no router's log names it.
void InvariantChecker::checkAnswered(const SentRequest& sent, int runs)
{
    const Outcome& outcome = sent.outcome;
    const bool isAnswer = outcome.isComplete() && (outcome.status == 200 || isNotRunStatus(outcome.status));
    if (isAnswer || outcome.endReason == EndReason::NotConnected)
        return;
    if (isClosedUnread(sent, runs)) {
        ++report_.closedUnread;
        return;
    }
    if (runLog_.hadFault(sent.router, outcome.sentAt, outcome.endedAt)) {
        ++report_.failedDuringFault;
        return;
    }
    fail(outcome.isComplete() ? "failed though no server did" : "neither an answer nor a refusal", sent, runs);
}

void InvariantChecker::checkEngines()
{
    for (std::size_t index = 0; index < fleet_.engines(); ++index) {
        if (fleet_.engine(index).violations() > 0)
            runLog_.fail("an engine was ordered beyond what fits, or with an older fence");
    }
}

} // namespace lagoon::soak
