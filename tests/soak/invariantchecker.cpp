#include "soak/invariantchecker.h"

#include "fleet/streamevents.h"
#include "soak/standins.h"

namespace lagoon::soak {

namespace {

using framework::Milliseconds;

/// A request that is sent while the router closes the connection ends within this time, also on a busy machine.
constexpr Milliseconds maxCloseRace { 300 };

bool isNotRunStatus(int status) { return status == 503 || status == 429 || status == 408 || status == 421; }

/// Quoted as in the logs, so that an attempt whose name starts with this one's does not match.
std::string quoted(const std::string& attempt) { return '"' + attempt + '"'; }

/// The endpoints of servers in the routers' log lines about a request.
std::vector<std::string> endpointsOf(const std::string& lines)
{
    const std::string key = "\"at\":\"";
    std::vector<std::string> endpoints;
    for (std::size_t found = lines.find(key); found != std::string::npos; found = lines.find(key, found)) {
        found += key.size();
        endpoints.push_back(lines.substr(found, lines.find('"', found) - found));
    }
    return endpoints;
}

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
        return "timed out";
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
        fail("not retryable, but ran more than once", sent, runs);
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
    const std::vector<fleet::StreamEvent> events = fleet::parseEvents(outcome.body);
    const std::string expected = expectedStream(events.empty() ? "v1" : events.front().version);
    if (isStream(sent.kind) && outcome.isComplete() && outcome.body != expected)
        fail("complete stream with missing or wrong events", sent, runs);
    if (isStream(sent.kind) && !outcome.isComplete() && !expected.starts_with(outcome.body))
        fail("partial stream with missing or wrong events", sent, runs);
    if (!isStream(sent.kind) && outcome.isComplete() && outcome.body.find(sent.attempt) == std::string::npos)
        fail("answer to another request", sent, runs);
}

bool InvariantChecker::isClosedUnread(const SentRequest& sent, int runs) const
{
    const Outcome& outcome = sent.outcome;
    return outcome.endReason == EndReason::Closed && outcome.status == 0 && runs == 0
        && outcome.endedAt - outcome.sentAt < maxCloseRace && fleet_.logLinesContaining(quoted(sent.attempt)).empty();
}

FailedRequest InvariantChecker::failureOf(const SentRequest& sent) const
{
    const Outcome& outcome = sent.outcome;
    FailedRequest failure { .router = sent.router,
        .servers = endpointsOf(fleet_.logLinesContaining(quoted(sent.attempt))),
        .hasAnswerBegun = outcome.status != 0,
        .sentAt = outcome.sentAt,
        .endedAt = outcome.endedAt };
    failure.hasServerBrokenOff = fleet_.plain1.hasBrokenOff(sent.attempt) || fleet_.plain2.hasBrokenOff(sent.attempt);
    for (std::size_t index = 0; index < fleet_.engines(); ++index)
        failure.hasServerBrokenOff |= fleet_.engine(index).hasBrokenOff(sent.attempt);
    return failure;
}

/// A request that a router has read must get a whole answer, and a failure only if a server failed, unless there is an
/// excuse. A request that was sent while the router closed the connection may stay unread: the connection is then
/// closed within `maxCloseRace`, no server has run the request, and no router's log names it.
void InvariantChecker::checkAnswered(const SentRequest& sent, int runs)
{
    const Outcome& outcome = sent.outcome;
    const bool isAnswer = outcome.isComplete() && (outcome.status == 200 || isNotRunStatus(outcome.status));
    if (isAnswer || outcome.endReason == EndReason::NotConnected)
        return;
    if (const auto excuse = runLog_.faults().excuseFor(failureOf(sent))) {
        ++report_.excused[*excuse];
        return;
    }
    if (isClosedUnread(sent, runs)) {
        ++report_.closedUnread;
        runLog_.note("crossed a close: " + describe(sent, runs));
        return;
    }
    fail(outcome.isComplete() ? "failed although no server failed" : "neither an answer nor a refusal", sent, runs);
}

void InvariantChecker::checkEngines()
{
    for (std::size_t index = 0; index < fleet_.engines(); ++index) {
        if (fleet_.engine(index).violations() > 0)
            runLog_.fail("an engine received an order beyond its capacity or with an older fencing token");
    }
}

} // namespace lagoon::soak
