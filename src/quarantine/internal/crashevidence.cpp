#include "quarantine/crashevidence.h"

#include "quarantine/quarantinesettings.h"

#include <algorithm>
#include <functional>
#include <utility>

namespace lagoon::quarantine {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

constexpr std::size_t maxCrashes = 128;
/// More requests than a server usually runs and queues.
constexpr std::size_t maxSuspects = 128;
constexpr std::size_t maxTrials = 1024;
constexpr std::size_t maxCrashTimes = 1024;
constexpr std::size_t maxClearedRequests = 1024;
/// Clearances that are remembered for one request.
constexpr std::size_t maxClearances = 4;
/// A server whose end shows in no way for so long is taken to be running: the platform's list drops a server that has
/// ended within four seconds.
constexpr Milliseconds confirmationTimeout { 6000 };
/// The connections of a server that has ended are closed within this time.
constexpr Milliseconds endedRunRetention { 3000 };
/// Longer than requests run. Covers trials whose router ended before it could report their end.
constexpr Milliseconds trialRetention { 20000 };

Milliseconds retention(const ServerCrash& crash) { return crash.isConfirmed ? maxQuarantine : confirmationTimeout; }

/// Removes the entries with the earliest times.
template <typename Entries, typename TimeOf>
void limitByAge(Entries& entries, std::size_t maxEntries, const TimeOf& timeOf)
{
    while (entries.size() > maxEntries) {
        entries.erase(std::min_element(entries.begin(), entries.end(),
            [&](const auto& left, const auto& right) { return timeOf(left.second) < timeOf(right.second); }));
    }
}

} // namespace

EvidenceUpdate CrashEvidence::merge(const EvidenceUpdate& update, SteadyTime now)
{
    EvidenceUpdate news;
    for (const Clearance& clearance : update.clearances) {
        if (mergeClearance(clearance))
            news.clearances.push_back(clearance);
    }
    for (const ServerCrash& crash : update.crashes) {
        if (now - crash.endedAt > retention(crash))
            continue;
        ServerCrash fresh = mergeCrash(crash);
        if (!fresh.server.value().empty())
            news.crashes.push_back(std::move(fresh));
    }
    for (const Trial& trial : update.trials) {
        if (now - trial.startedAt <= trialRetention && mergeTrial(trial))
            news.trials.push_back(trial);
    }
    limitCrashes();
    return news;
}

/// Returns what was new of the crash; its server is empty if nothing was.
ServerCrash CrashEvidence::mergeCrash(const ServerCrash& reported)
{
    ServerCrash news = reported;
    news.suspects.clear();
    for (const auto& [request, sentAt] : reported.suspects) {
        if (!isCleared(request, reported.endedAt))
            news.suspects.emplace(request, sentAt);
    }
    const auto known = crashes_.find(reported.server);
    if (known == crashes_.end() && news.suspects.empty())
        return {};
    const bool isNew = known == crashes_.end();
    ServerCrash& crash = isNew ? crashes_[reported.server] : known->second;
    if (isNew) {
        crash = news;
        crash.isConfirmed = reported.isConfirmed || endedRuns_.contains(reported.server);
        news.isConfirmed = crash.isConfirmed;
        limitSuspects(crash);
        noteConfirmed(crash);
        return news;
    }
    std::erase_if(news.suspects, [&](const auto& suspect) { return crash.suspects.contains(suspect.first); });
    const bool isNewlyConfirmed = reported.isConfirmed && !crash.isConfirmed;
    crash.endedAt = std::min(crash.endedAt, reported.endedAt);
    crash.isConfirmed = crash.isConfirmed || reported.isConfirmed;
    // A router whose list is current knows better than one whose list isn't.
    const bool isFoundInService = crash.mayBeLeaving && !reported.mayBeLeaving;
    crash.mayBeLeaving = crash.mayBeLeaving && reported.mayBeLeaving;
    crash.suspects.insert(news.suspects.begin(), news.suspects.end());
    limitSuspects(crash);
    news.isConfirmed = crash.isConfirmed;
    noteConfirmed(crash);
    return news.suspects.empty() && !isNewlyConfirmed && !isFoundInService ? ServerCrash() : news;
}

bool CrashEvidence::mergeTrial(const Trial& reported)
{
    const auto [known, isNew] = trials_.try_emplace(reported.id, reported);
    Trial& trial = known->second;
    const bool hasNowEnded = reported.hasEnded && !trial.hasEnded;
    const bool isNowSent = reported.isSent() && !trial.isSent();
    if (isNowSent) {
        trial.server = reported.server;
        trial.startedAt = reported.startedAt;
    }
    trial.hasEnded = trial.hasEnded || reported.hasEnded;
    limitByAge(trials_, maxTrials, [](const Trial& trial) { return trial.startedAt; });
    return isNew || hasNowEnded || isNowSent;
}

bool CrashEvidence::isKnown(const Clearance& clearance) const
{
    const auto known = clearances_.find(clearance.request);
    return wasClearedAt(clearance.request, clearance.server)
        || (known != clearances_.end()
            && std::any_of(known->second.begin(), known->second.end(),
                [&](const Clearance& other) { return other.id == clearance.id; }));
}

bool CrashEvidence::wasClearedAt(const RequestFingerprint& part, const ServerRunId& server) const
{
    const auto known = clearances_.find(part);
    return known != clearances_.end() && !server.value().empty()
        && std::any_of(
            known->second.begin(), known->second.end(), [&](const Clearance& other) { return other.server == server; });
}

bool CrashEvidence::isCleared(const RequestFingerprint& request, SteadyTime crashedAt) const
{
    const auto known = clearances_.find(request);
    return known != clearances_.end()
        && std::any_of(known->second.begin(), known->second.end(),
            [&](const Clearance& clearance) { return crashedAt <= clearance.at; });
}

bool CrashEvidence::mergeClearance(const Clearance& clearance)
{
    if (isKnown(clearance))
        return false;
    std::vector<Clearance>& known = clearances_[clearance.request];
    known.push_back(clearance);
    if (known.size() > maxClearances)
        known.erase(known.begin());
    limitByAge(clearances_, maxClearedRequests, [](const std::vector<Clearance>& all) { return all.back().at; });
    for (auto& [server, crash] : crashes_) {
        if (crash.endedAt <= clearance.at)
            crash.suspects.erase(clearance.request);
    }
    std::erase_if(crashes_, [](const auto& entry) { return entry.second.suspects.empty(); });
    return true;
}

void CrashEvidence::noteConfirmed(const ServerCrash& crash)
{
    if (!crash.isConfirmed)
        return;
    crashTimes_.try_emplace(crash.server, crash.endedAt);
    limitByAge(crashTimes_, maxCrashTimes, [](SteadyTime at) { return at; });
}

/// Keeps the suspects of other crashes first. Of the others, it keeps the requests that were sent last, since a request
/// that crashes its servers does so when it begins to run, and as many parts, drawn anew for each crash: prompts with
/// many parts of their own can't displace the one that they share for long.
void CrashEvidence::limitSuspects(ServerCrash& crash)
{
    if (crash.suspects.size() <= maxSuspects)
        return;
    const auto isRecurring = [&](const RequestFingerprint& suspect) {
        return std::any_of(crashes_.begin(), crashes_.end(),
            [&](const auto& other) { return other.first != crash.server && other.second.suspects.contains(suspect); });
    };
    const auto drawOf
        = [&](const RequestFingerprint& part) { return std::hash<std::string> {}(crash.server.value() + part.text()); };
    std::vector<RequestFingerprint> recurring;
    std::vector<std::pair<SteadyTime, RequestFingerprint>> requests;
    std::vector<std::pair<std::size_t, RequestFingerprint>> parts;
    for (const auto& [suspect, sentAt] : crash.suspects) {
        if (isRecurring(suspect))
            recurring.push_back(suspect);
        else if (suspect.isPart())
            parts.emplace_back(drawOf(suspect), suspect);
        else
            requests.emplace_back(sentAt, suspect);
    }
    std::sort(requests.begin(), requests.end(), std::greater<> {});
    std::sort(parts.begin(), parts.end());
    std::vector<RequestFingerprint> order = std::move(recurring);
    for (std::size_t index = 0; index < std::max(requests.size(), parts.size()); ++index) {
        if (index < requests.size())
            order.push_back(requests[index].second);
        if (index < parts.size())
            order.push_back(parts[index].second);
    }
    for (std::size_t index = maxSuspects; index < order.size(); ++index)
        crash.suspects.erase(order[index]);
}

void CrashEvidence::limitCrashes()
{
    limitByAge(crashes_, maxCrashes, [](const ServerCrash& crash) { return crash.endedAt; });
}

const ServerCrash* CrashEvidence::confirm(const ServerRunId& server, bool isCertain, SteadyTime now)
{
    if (isCertain)
        endedRuns_[server] = Deadline::after(now, endedRunRetention);
    const auto crash = crashes_.find(server);
    if (crash == crashes_.end() || crash->second.isConfirmed)
        return nullptr;
    crash->second.isConfirmed = true;
    noteConfirmed(crash->second);
    return &crash->second;
}

bool CrashEvidence::refute(const ServerRunId& server, SteadyTime sentAt)
{
    const auto crash = crashes_.find(server);
    if (crash == crashes_.end() || crash->second.isConfirmed || crash->second.endedAt >= sentAt)
        return false;
    crashes_.erase(crash);
    return true;
}

void CrashEvidence::expire(SteadyTime now)
{
    std::erase_if(crashes_, [now](const auto& entry) { return now - entry.second.endedAt > retention(entry.second); });
    std::erase_if(crashTimes_, [now](const auto& entry) { return now - entry.second > maxQuarantine; });
    std::erase_if(endedRuns_, [now](const auto& entry) { return entry.second.hasPassed(now); });
    std::erase_if(trials_, [now](const auto& entry) { return now - entry.second.startedAt > trialRetention; });
    std::erase_if(clearances_, [now](const auto& entry) { return now - entry.second.back().at > maxQuarantine; });
}

bool CrashEvidence::isSuspect(const RequestFingerprint& request) const
{
    return std::any_of(
        crashes_.begin(), crashes_.end(), [&](const auto& entry) { return entry.second.suspects.contains(request); });
}

EvidenceUpdate CrashEvidence::newest(std::size_t limit) const
{
    std::vector<const ServerCrash*> order;
    for (const auto& [server, crash] : crashes_)
        order.push_back(&crash);
    std::sort(order.begin(), order.end(),
        [](const ServerCrash* left, const ServerCrash* right) { return left->endedAt > right->endedAt; });
    EvidenceUpdate update;
    std::size_t suspects = 0;
    for (const ServerCrash* const crash : order) {
        suspects += crash->suspects.size();
        if (suspects > limit)
            break;
        update.crashes.push_back(*crash);
    }
    for (const auto& [request, all] : clearances_) {
        if (update.clearances.size() < limit && !update.crashes.empty()
            && all.back().at >= update.crashes.back().endedAt)
            update.clearances.push_back(all.back());
    }
    for (const auto& [id, trial] : trials_) {
        if (!trial.hasEnded)
            update.trials.push_back(trial);
    }
    return update;
}

} // namespace lagoon::quarantine
