#include "soak/invariantchecker.h"

#include "soak/standins.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// A request that meets its connection's close is on its way no longer than this, also on a busy machine.
constexpr Milliseconds crossing { 300 };

bool saysNotRun(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

/// As the log has it, so that no other attempt's name begins alike.
std::string quoted(const std::string& attempt) { return '"' + attempt + '"'; }

std::string endText(End end)
{
    switch (end) {
    case End::NotConnected:
        return "not connected";
    case End::Answered:
        return "answered";
    case End::Closed:
        return "closed";
    case End::GivenUp:
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

std::string InvariantChecker::textOf(const SentRequest& sent, int runs) const
{
    return sent.kind + sent.attempt + " (" + std::to_string(sent.outcome.status) + ", " + endText(sent.outcome.end)
        + ", " + std::to_string(runs) + " runs) at router " + std::to_string(sent.router) + ", connected at "
        + runLog_.when(sent.connectedAt) + ", sent at " + runLog_.when(sent.outcome.sentAt) + ", ended at "
        + runLog_.when(sent.outcome.endedAt);
}

void InvariantChecker::fail(const std::string& promise, const SentRequest& sent, int runs)
{
    runLog_.fail(promise + ": " + textOf(sent, runs) + "\n" + fleet_.linesWith(quoted(sent.attempt)));
}

void InvariantChecker::check(const SentRequest& sent)
{
    const int runs = runsOf(sent.attempt);
    ++report_.requests;
    report_.served += sent.outcome.status == 200 && sent.outcome.isComplete() ? 1 : 0;
    report_.refused += saysNotRun(sent.outcome.status) ? 1 : 0;
    checkRuns(sent, runs);
    checkContent(sent, runs);
    checkAnswered(sent, runs);
}

void InvariantChecker::checkRuns(const SentRequest& sent, int runs)
{
    const int status = sent.outcome.status;
    if (!mayRepeat(sent.kind) && runs > 1)
        fail("ran twice", sent, runs);
    if (!mayRepeat(sent.kind) && saysNotRun(status) && runs > 0)
        fail("refused as not run, but ran", sent, runs);
    if (status == 404 || status == 400)
        fail("denied", sent, runs);
}

void InvariantChecker::checkContent(const SentRequest& sent, int runs)
{
    const Outcome& outcome = sent.outcome;
    if (outcome.status != 200)
        return;
    if (isStream(sent.kind) && outcome.isComplete() && outcome.body != wholeStream())
        fail("looks whole, but isn't", sent, runs);
    if (isStream(sent.kind) && !outcome.isComplete() && !wholeStream().starts_with(outcome.body))
        fail("events out of order", sent, runs);
    if (!isStream(sent.kind) && outcome.isComplete() && outcome.body.find(sent.attempt) == std::string::npos)
        fail("another request's answer", sent, runs);
}

bool InvariantChecker::isClosedUnread(const SentRequest& sent, int runs) const
{
    const Outcome& outcome = sent.outcome;
    return outcome.end == End::Closed && outcome.status == 0 && runs == 0 && outcome.endedAt - outcome.sentAt < crossing
        && fleet_.linesWith(quoted(sent.attempt)).empty();
}

/// A whole request that a router has read gets a whole answer, and a failure only where a server failed, unless
/// something unplanned struck. What met the close of its connection may stay unread: then no server ran it, it was
/// closed just then, and no router's log names it.
void InvariantChecker::checkAnswered(const SentRequest& sent, int runs)
{
    const Outcome& outcome = sent.outcome;
    const bool isAnswer = outcome.isComplete() && (outcome.status == 200 || saysNotRun(outcome.status));
    if (isAnswer || outcome.end == End::NotConnected)
        return;
    if (isClosedUnread(sent, runs)) {
        ++report_.crossed;
        return;
    }
    if (runLog_.wasStruck(sent.router, outcome.sentAt, outcome.endedAt)) {
        ++report_.struck;
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
