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
/// The end of a server shows within this time.
constexpr Milliseconds possibleCutRetention { 6000 };
constexpr std::size_t maxPossibleCuts = 256;
/// The other routers are told of a sound part at a time drawn from this for each router, so that few tell them.
constexpr Milliseconds clearanceSpread { 5 };

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
        .number("inseparable", standing.inseparable.size())
        .number("first_crash_ms_ago", age(standing.firstCrash, now))
        .number("last_crash_ms_ago", age(standing.lastCrash, now));
    return line;
}

} // namespace

TrialGuard::TrialGuard(std::weak_ptr<RequestQuarantine> quarantine, std::vector<Trial> trials)
    : quarantine_(std::move(quarantine))
    , trials_(std::move(trials))
{
}

TrialGuard::~TrialGuard()
{
    if (const auto quarantine = quarantine_.lock())
        quarantine->endTrials(trials_);
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

Admission RequestQuarantine::admit(const RequestIdentity& identity)
{
    refresh();
    std::vector<RequestFingerprint> suspected;
    if (!standings_.empty())
        suspected = identity.suspects();
    std::erase_if(suspected, [this](const RequestFingerprint& suspect) { return !standings_.contains(suspect); });
    if (suspected.empty())
        return Admission::Free;
    const auto refuses = [&](const RequestFingerprint& suspect) { return isRefused(suspect, identity); };
    if (std::any_of(suspected.begin(), suspected.end(), refuses))
        return Admission::Quarantined;
    const auto holdsBack = [this](const RequestFingerprint& suspect) { return isHeldBack(suspect); };
    if (std::any_of(suspected.begin(), suspected.end(), holdsBack))
        return Admission::Wait;
    // All are announced together.
    bool isTurnOfAll = true;
    for (const RequestFingerprint& suspect : suspected)
        isTurnOfAll = isOwnTurn(suspect) && isTurnOfAll;
    return isTurnOfAll ? Admission::Trial : Admission::Wait;
}

bool RequestQuarantine::isRefused(const RequestFingerprint& suspect, const RequestIdentity& identity)
{
    const Standing* const known = standing(suspect);
    return known && known->isQuarantined && !known->until.hasPassed(context_.clock.now())
        && std::all_of(known->inseparable.begin(), known->inseparable.end(),
            [&](const RequestFingerprint& other) { return identity.has(other); });
}

/// Whether a crash isn't confirmed yet that would decide on it, or a request with it is being tried.
bool RequestQuarantine::isHeldBack(const RequestFingerprint& suspect)
{
    const Standing* const known = standing(suspect);
    const bool isUndecided
        = known && known->possibleCrashes > known->crashes && known->possibleCrashes >= settings_.crashes;
    return isUndecided || isBeingTried(suspect);
}

bool RequestQuarantine::isQuarantined(const RequestIdentity& identity) { return verdict(identity).has_value(); }

std::optional<SuspectSummary> RequestQuarantine::verdict(const RequestIdentity& identity)
{
    refresh();
    if (standings_.empty())
        return std::nullopt;
    for (const RequestFingerprint& suspect : identity.suspects()) {
        if (isRefused(suspect, identity))
            return SuspectSummary { suspect, *standing(suspect) };
    }
    return std::nullopt;
}

bool RequestQuarantine::isSuspected(const RequestIdentity& identity)
{
    refresh();
    if (standings_.empty())
        return false;
    const std::vector<RequestFingerprint> suspects = identity.suspects();
    return std::any_of(suspects.begin(), suspects.end(),
        [this](const RequestFingerprint& suspect) { return standings_.contains(suspect); });
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

std::unique_ptr<TrialGuard> RequestQuarantine::beginTrial(const RequestIdentity& identity, const ServerRunId& server)
{
    EvidenceUpdate update;
    for (const RequestFingerprint& suspect : identity.suspects()) {
        const auto announced = announced_.find(suspect);
        if (announced == announced_.end() && !standing(suspect))
            continue;
        const std::uint64_t id = announced == announced_.end() ? framework::randomNumber() : announced->second.id;
        announced_.erase(suspect);
        update.trials.push_back({ suspect, id, server, context_.clock.now(), false });
    }
    add(update);
    return std::make_unique<TrialGuard>(weak_from_this(), update.trials);
}

void RequestQuarantine::endTrials(std::vector<Trial> trials)
{
    EvidenceUpdate update;
    update.trials = std::move(trials);
    for (Trial& trial : update.trials)
        trial.hasEnded = true;
    add(update);
    context_.didChange();
}

bool RequestQuarantine::mayHaveCrashed(const ServerRunId& server) const
{
    const auto crash = evidence_.crashes().find(server);
    return crash != evidence_.crashes().end()
        && (crash->second.isConfirmed || context_.clock.now() - crash->second.endedAt < cutServerAvoidance);
}

bool RequestQuarantine::hasOtherTrial(const ServerRunId& server, const RequestIdentity& identity) const
{
    return std::any_of(evidence_.trials().begin(), evidence_.trials().end(), [&](const auto& entry) {
        const Trial& trial = entry.second;
        return trial.server == server && !trial.hasEnded && !identity.has(trial.request);
    });
}

bool RequestQuarantine::mustRunApart(const RequestIdentity& identity)
{
    const std::vector<RequestFingerprint> suspects = identity.suspects();
    return std::any_of(suspects.begin(), suspects.end(), [this](const RequestFingerprint& suspect) {
        const Standing* const known = standing(suspect);
        return known && known->possibleCrashes + 1 >= settings_.crashes
            && context_.clock.now() - known->lastCrash < apartTime;
    });
}

void RequestQuarantine::didCut(const CutRequest& cut) { addCut(cut, context_.clock.now()); }

void RequestQuarantine::addCut(const CutRequest& cut, SteadyTime at)
{
    ServerCrash crash { cut.server, at, false, cut.mayBeLeaving, {} };
    for (const RequestFingerprint& suspect : cut.request.suspects()) {
        if (!soundParts_.didSurviveAt(suspect, cut.server, at))
            crash.suspects.emplace(suspect, cut.sentAt);
    }
    clearSurvivors(crash);
    EvidenceUpdate update;
    update.crashes.push_back(std::move(crash));
    add(update);
}

void RequestQuarantine::didEndWithConnection(const CutRequest& cut)
{
    possibleCuts_.push_back({ cut, context_.clock.now() });
    if (possibleCuts_.size() > maxPossibleCuts)
        possibleCuts_.pop_front();
}

/// The server's run has ended, so answers that ended with their connections just before may have been cut.
void RequestQuarantine::addPossibleCuts(const ServerRunId& server)
{
    const SteadyTime now = context_.clock.now();
    std::vector<PossibleCut> cuts;
    for (const PossibleCut& possible : possibleCuts_) {
        if (possible.cut.server == server && now - possible.at <= possibleCutRetention)
            cuts.push_back(possible);
    }
    std::erase_if(possibleCuts_, [&](const PossibleCut& possible) { return possible.cut.server == server; });
    for (const PossibleCut& possible : cuts)
        addCut(possible.cut, possible.at);
}

void RequestQuarantine::didEndRun(const ServerRunId& server, EndSign sign)
{
    addPossibleCuts(server);
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
    for (const Clearance& clearance : news.clearances)
        dueClearances_.erase(clearance.request);
    for (const ServerCrash& crash : news.crashes) {
        if (crash.isConfirmed)
            addPossibleCuts(crash.server);
    }
    for (const ServerCrash& crash : news.crashes)
        clearSurvivors(crash);
    if (!news.crashes.empty() || !news.clearances.empty())
        noteChange();
    else if (!news.isEmpty())
        context_.didChange();
}

/// Returns the server whose run of the part clears it of the crash: the crashed one itself, or any other one. Each does
/// so once, since it may be one of few that bear the part.
std::optional<ServerRunId> RequestQuarantine::serverThatClears(
    const RequestFingerprint& suspect, const ServerCrash& crash) const
{
    if (soundParts_.didSurviveAt(suspect, crash.server, crash.endedAt)
        && !evidence_.wasClearedAt(suspect, crash.server))
        return crash.server;
    for (const ServerRunId& server : soundParts_.servers(suspect, crash.endedAt)) {
        if (!evidence_.wasClearedAt(suspect, server))
            return server;
    }
    return std::nullopt;
}

/// Clears parts of a crash that went on well here lately. The other routers are told a little later, unless one of them
/// clears the part first: a part that all requests share went on well at all routers.
void RequestQuarantine::clearSurvivors(const ServerCrash& crash)
{
    const SteadyTime now = context_.clock.now();
    const Milliseconds latest = clearanceSpread * static_cast<std::int64_t>(routers_);
    EvidenceUpdate clearances;
    for (const auto& [suspect, sentAt] : crash.suspects) {
        const auto server = serverThatClears(suspect, crash);
        if (!server)
            continue;
        clearances.clearances.push_back({ suspect, framework::randomNumber(), now, ClearanceReason::Served, *server });
        const auto delay = static_cast<std::int64_t>(framework::randomFraction() * static_cast<double>(latest.count()));
        const Deadline at = Deadline::after(now, Milliseconds(delay));
        dueClearances_.try_emplace(suspect, DueClearance { at, *server });
        context_.wakeAt(at);
    }
    evidence_.merge(clearances, now);
}

void RequestQuarantine::shareDueClearances()
{
    const SteadyTime now = context_.clock.now();
    EvidenceUpdate update;
    for (auto due = dueClearances_.begin(); due != dueClearances_.end();) {
        if (!due->second.at.hasPassed(now)) {
            ++due;
            continue;
        }
        update.clearances.push_back(
            { due->first, framework::randomNumber(), now, ClearanceReason::Served, due->second.server });
        due = dueClearances_.erase(due);
    }
    if (!update.isEmpty())
        context_.share(update);
}

void RequestQuarantine::didAnswer(const ServerRunId& server, SteadyTime sentAt)
{
    if (evidence_.refute(server, sentAt))
        noteChange();
}

void RequestQuarantine::didServe(const RequestIdentity& identity, const ServerRunId& server)
{
    didSurvive(identity, server);
    if (!evidence_.isEmpty())
        clearServed(identity.request, {});
}

void RequestQuarantine::didSurvive(const RequestIdentity& identity, const ServerRunId& server)
{
    const SteadyTime now = context_.clock.now();
    for (const RequestFingerprint& part : identity.parts) {
        soundParts_.didSurvive(part, server, now);
        if (!evidence_.isEmpty() && !evidence_.wasClearedAt(part, server))
            clearServed(part, server);
    }
}

void RequestQuarantine::clearServed(const RequestFingerprint& request, const ServerRunId& server)
{
    clear({ request, framework::randomNumber(), context_.clock.now(), ClearanceReason::Served, server }, {});
}

bool RequestQuarantine::release(const RequestFingerprint& request, const std::string& operatorName)
{
    return clear(
        { request, framework::randomNumber(), context_.clock.now(), ClearanceReason::Operator, {} }, operatorName);
}

bool RequestQuarantine::clear(const Clearance& clearance, const std::string& operatorName)
{
    if (!evidence_.isSuspect(clearance.request))
        return false;
    context_.log(LogLine("suspect_cleared")
                     .text("fingerprint", clearance.request.text())
                     .text("reason", clearance.reason == ClearanceReason::Served ? "served" : "operator")
                     .text("server", clearance.server.value())
                     .text("operator", operatorName));
    EvidenceUpdate update;
    update.clearances.push_back(clearance);
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
    soundParts_.expire(now);
    if (hadEvidence)
        noteChange();
}

void RequestQuarantine::refresh()
{
    expire();
    shareDueClearances();
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
