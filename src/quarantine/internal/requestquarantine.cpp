#include "quarantine/requestquarantine.h"

#include "framework/randomid.h"

#include <algorithm>
#include <utility>

namespace lagoon::quarantine {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::SteadyTime;

/// A trial of a request that neither ended nor crashed its server for this long holds back its copies no longer.
constexpr Milliseconds maxTrialTime { 2000 };
/// How long suspected requests avoid a server whose connections were cut, if its end isn't confirmed.
constexpr Milliseconds cutServerAvoidance { 1000 };
/// Limits the cost of judging in a crash storm: with so many suspects it takes milliseconds.
constexpr std::size_t manySuspects = 500;
constexpr Milliseconds judgementInterval { 50 };
/// From the announcement of a trial to its begin: longer than evidence takes from router to router.
constexpr Milliseconds announcementTime { 150 };
/// An announced trial that hasn't begun by then is given up, such as when its caller has left.
constexpr Milliseconds announcementTtl { 600 };
/// How long a copy whose turn it is may wait for a server before the trial is announced anew.
constexpr Milliseconds turnTime { 2000 };
/// How long after a crash a suspected request may be kept waiting for a server without another one: with few servers
/// and long requests there may be none for long.
constexpr Milliseconds apartTime { 2000 };
constexpr Milliseconds expiryInterval { 1000 };

const char* text(EndSign sign)
{
    switch (sign) {
    case EndSign::Restarted:
        return "restarted";
    case EndSign::Refused:
        return "refuses connections";
    case EndSign::Unlisted:
        return "unlisted";
    }
    return "";
}

std::int64_t age(SteadyTime since, SteadyTime now)
{
    return std::chrono::duration_cast<Milliseconds>(now - since).count();
}

std::string joined(const std::vector<ServerRunId>& servers)
{
    std::string text;
    for (const ServerRunId& server : servers)
        text += (text.empty() ? "" : " ") + server.value();
    return text;
}

LogLine standingLine(const char* event, const RequestFingerprint& request, const Standing& standing, SteadyTime now)
{
    LogLine line(event);
    line.text("fingerprint", request.text())
        .number("crashes", standing.crashes)
        .number("servers", standing.servers.size())
        .text("ended", joined(standing.servers))
        .number("first_crash_ms_ago", age(standing.firstCrash, now))
        .number("last_crash_ms_ago", age(standing.lastCrash, now));
    return line;
}

} // namespace

TrialGuard::TrialGuard(std::weak_ptr<RequestQuarantine> quarantine, Trial trial)
    : quarantine_(std::move(quarantine))
    , trial_(std::move(trial))
{
}

TrialGuard::~TrialGuard()
{
    if (const auto quarantine = quarantine_.lock())
        quarantine->endTrial(trial_);
}

RequestQuarantine::RequestQuarantine(Context context, const QuarantineSettings& settings)
    : context_(std::move(context))
    , settings_(settings)
{
}

void RequestQuarantine::setSettings(const QuarantineSettings& settings)
{
    settings_ = settings;
    noteChange();
}

Admission RequestQuarantine::admit(const RequestFingerprint& request)
{
    const Standing* const known = standing(request);
    if (!known)
        return Admission::Free;
    if (isQuarantined(request))
        return Admission::Quarantined;
    const bool isUndecided = known->possibleCrashes > known->crashes && known->possibleCrashes >= settings_.crashes;
    if (isUndecided || isBeingTried(request))
        return Admission::Wait;
    return isOwnTurn(request) ? Admission::Trial : Admission::Wait;
}

bool RequestQuarantine::isQuarantined(const RequestFingerprint& request)
{
    const Standing* const known = standing(request);
    return known && known->isQuarantined && !known->until.hasPassed(context_.clock.now());
}

/// Prevents several routers from trying a copy each at the same moment, such as when a server comes back: a trial is
/// announced first, and begins if no other router has announced one with a lower id meanwhile.
bool RequestQuarantine::isOwnTurn(const RequestFingerprint& request)
{
    const SteadyTime now = context_.clock.now();
    Trial& own = announced_[request];
    if (own.id == 0 || now - own.startedAt > turnTime) {
        own = { request, framework::randomNumber(), {}, now, false };
        EvidenceUpdate update;
        update.trials.push_back(own);
        add(update);
    }
    const Deadline decidedAt = Deadline::after(own.startedAt, announcementTime);
    if (!decidedAt.hasPassed(now)) {
        context_.wakeAt(decidedAt);
        return false;
    }
    const bool isFirst = std::none_of(evidence_.trials().begin(), evidence_.trials().end(), [&](const auto& entry) {
        const Trial& other = entry.second;
        return other.request == request && other.id < own.id && !other.hasEnded && !other.isSent()
            && now - other.startedAt <= announcementTtl;
    });
    if (!isFirst)
        context_.wakeAt(Deadline::after(now, announcementTime));
    return isFirst;
}

const Standing* RequestQuarantine::standing(const RequestFingerprint& request)
{
    refresh();
    const auto known = standings_.find(request);
    return known == standings_.end() ? nullptr : &known->second;
}

std::vector<SuspectSummary> RequestQuarantine::suspects()
{
    refresh();
    std::vector<SuspectSummary> summaries;
    for (const auto& [request, standing] : standings_)
        summaries.push_back({ request, standing });
    return summaries;
}

bool RequestQuarantine::isBeingTried(const RequestFingerprint& request) const
{
    const SteadyTime now = context_.clock.now();
    return std::any_of(evidence_.trials().begin(), evidence_.trials().end(), [&](const auto& entry) {
        const Trial& trial = entry.second;
        return trial.request == request && trial.isSent() && !trial.hasEnded && now - trial.startedAt < maxTrialTime;
    });
}

std::unique_ptr<TrialGuard> RequestQuarantine::beginTrial(const RequestFingerprint& request, const ServerRunId& server)
{
    const auto announced = announced_.find(request);
    const std::uint64_t id = announced == announced_.end() ? framework::randomNumber() : announced->second.id;
    announced_.erase(request);
    const Trial trial { request, id, server, context_.clock.now(), false };
    EvidenceUpdate update;
    update.trials.push_back(trial);
    add(update);
    return std::make_unique<TrialGuard>(weak_from_this(), trial);
}

void RequestQuarantine::endTrial(Trial trial)
{
    trial.hasEnded = true;
    EvidenceUpdate update;
    update.trials.push_back(std::move(trial));
    add(update);
    context_.didChange();
}

bool RequestQuarantine::mayHaveCrashed(const ServerRunId& server) const
{
    const auto crash = evidence_.crashes().find(server);
    return crash != evidence_.crashes().end()
        && (crash->second.isConfirmed || context_.clock.now() - crash->second.endedAt < cutServerAvoidance);
}

bool RequestQuarantine::hasOtherTrial(const ServerRunId& server, const RequestFingerprint& request) const
{
    return std::any_of(evidence_.trials().begin(), evidence_.trials().end(), [&](const auto& entry) {
        const Trial& trial = entry.second;
        return trial.request != request && trial.server == server && !trial.hasEnded;
    });
}

bool RequestQuarantine::mustRunApart(const RequestFingerprint& request)
{
    const Standing* const known = standing(request);
    return known && known->possibleCrashes + 1 >= settings_.crashes
        && context_.clock.now() - known->lastCrash < apartTime;
}

void RequestQuarantine::didCut(const CutRequest& cut)
{
    ServerCrash crash { cut.server, context_.clock.now(), false, cut.mayBeLeaving, { { cut.request, cut.sentAt } } };
    EvidenceUpdate update;
    update.crashes.push_back(std::move(crash));
    add(update);
}

void RequestQuarantine::didEndRun(const ServerRunId& server, EndSign sign)
{
    const auto known = evidence_.crashes().find(server);
    if (sign != EndSign::Restarted && known != evidence_.crashes().end() && known->second.mayBeLeaving)
        return;
    const SteadyTime now = context_.clock.now();
    // A server may go on for a while after the platform has dropped it.
    const ServerCrash* const crash = evidence_.confirm(server, sign != EndSign::Unlisted, now);
    if (!crash)
        return;
    context_.log(LogLine("server_crashed")
                     .text("server", server.value())
                     .text("sign", text(sign))
                     .number("suspects", crash->suspects.size())
                     .number("cut_ms_ago", age(crash->endedAt, now)));
    context_.metrics.count("lagoon_server_crashes_total");
    EvidenceUpdate update;
    update.crashes.push_back({ server, crash->endedAt, true, crash->mayBeLeaving, {} });
    context_.share(update);
    noteChange();
}

/// Adds evidence of this router and shares what is new.
void RequestQuarantine::add(const EvidenceUpdate& update)
{
    const EvidenceUpdate news = evidence_.merge(update, context_.clock.now());
    if (news.isEmpty())
        return;
    context_.share(news);
    if (!news.crashes.empty() || !news.clearances.empty())
        noteChange();
}

void RequestQuarantine::merge(const EvidenceUpdate& update)
{
    const EvidenceUpdate news = evidence_.merge(update, context_.clock.now());
    if (!news.crashes.empty() || !news.clearances.empty())
        noteChange();
    else if (!news.isEmpty())
        context_.didChange();
}

void RequestQuarantine::didAnswer(const ServerRunId& server, SteadyTime sentAt)
{
    if (evidence_.refute(server, sentAt))
        noteChange();
}

void RequestQuarantine::didServe(const RequestFingerprint& request)
{
    if (!evidence_.isEmpty())
        clear(request, ClearanceReason::Served);
}

bool RequestQuarantine::release(const RequestFingerprint& request, const std::string& operatorName)
{
    return clear(request, ClearanceReason::Operator, operatorName);
}

bool RequestQuarantine::clear(
    const RequestFingerprint& request, ClearanceReason reason, const std::string& operatorName)
{
    if (!evidence_.isSuspect(request))
        return false;
    context_.log(LogLine("suspect_cleared")
                     .text("fingerprint", request.text())
                     .text("reason", reason == ClearanceReason::Served ? "served" : "operator")
                     .text("operator", operatorName));
    EvidenceUpdate update;
    update.clearances.push_back({ request, framework::randomNumber(), context_.clock.now(), reason });
    add(update);
    return true;
}

void RequestQuarantine::noteChange()
{
    isStale_ = true;
    context_.didChange();
}

void RequestQuarantine::expire()
{
    const SteadyTime now = context_.clock.now();
    if (!nextExpiry_.hasPassed(now))
        return;
    nextExpiry_ = Deadline::after(now, expiryInterval);
    const bool hadEvidence = !evidence_.isEmpty();
    evidence_.expire(now);
    std::erase_if(announced_, [now](const auto& entry) { return now - entry.second.startedAt > turnTime; });
    if (hadEvidence)
        noteChange();
}

void RequestQuarantine::refresh()
{
    expire();
    const SteadyTime now = context_.clock.now();
    if (!isStale_ || !nextJudgement_.hasPassed(now))
        return;
    isStale_ = false;
    const Standings before = std::exchange(standings_, judge(evidence_, settings_, servers_));
    if (standings_.size() > manySuspects)
        nextJudgement_ = Deadline::after(now, judgementInterval);
    reportChanges(before);
}

void RequestQuarantine::reportChanges(const Standings& before)
{
    const SteadyTime now = context_.clock.now();
    std::size_t quarantined = 0;
    for (const auto& [request, standing] : standings_) {
        if (!standing.isQuarantined)
            continue;
        quarantined += standing.until.hasPassed(now) ? 0 : 1;
        const auto known = before.find(request);
        if (known != before.end() && known->second.isQuarantined && known->second.crashes == standing.crashes)
            continue;
        context_.log(standingLine("request_quarantined", request, standing, now)
                         .number("for_ms", standing.until.remaining(now).count()));
        context_.metrics.count("lagoon_quarantines_total");
    }
    for (const auto& [request, standing] : before) {
        const auto known = standings_.find(request);
        if (standing.isQuarantined && (known == standings_.end() || !known->second.isQuarantined))
            context_.log(standingLine("quarantine_ended", request, standing, now));
    }
    context_.metrics.setGauge("lagoon_suspected_requests", static_cast<double>(standings_.size()));
    context_.metrics.setGauge("lagoon_quarantined_requests", static_cast<double>(quarantined));
}

} // namespace lagoon::quarantine
