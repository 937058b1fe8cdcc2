#include "quarantine/verdicts.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <optional>
#include <set>
#include <tuple>

namespace lagoon::quarantine {

namespace {

using framework::Deadline;
using framework::SteadyTime;

constexpr std::uint32_t maxDoublings = 10;
/// The time over which the rate of crashes is taken.
constexpr std::chrono::seconds crashRateWindow { 60 };
/// A request is quarantined if it would be at its crashes by chance no more often than this.
constexpr double maxChance = 1e-7;
/// Some of many requests are cut right after they were sent, so a shorter time says no more.
constexpr std::chrono::duration<double> minExposure { 0.1 };

/// The crashes that one request was part of.
struct Involvement {
    SteadyTime sentAt {};
    const ServerCrash* crash = nullptr;
};

using Involvements = std::vector<Involvement>;
using Convicted = std::set<RequestFingerprint>;

bool isExplained(const ServerCrash& crash, const RequestFingerprint& request, const Convicted& convicted)
{
    return std::any_of(convicted.begin(), convicted.end(),
        [&](const RequestFingerprint& other) { return other != request && crash.suspects.contains(other); });
}

/// Returns what is left against the request if the convicted ones are to blame for their crashes.
Involvements unexplained(
    const Involvements& involvements, const RequestFingerprint& request, const Convicted& convicted)
{
    Involvements left;
    for (const Involvement& involvement : involvements) {
        if (!isExplained(*involvement.crash, request, convicted))
            left.push_back(involvement);
    }
    return left;
}

/// Returns the crashes that count. Copies that were sent before the first of several crashes count as one: only a copy
/// that was sent after a crash is new evidence. `involvements` are in the order of their crashes.
Involvements inSuccession(const Involvements& involvements, bool onlyConfirmed)
{
    Involvements counted;
    for (const Involvement& involvement : involvements) {
        if (onlyConfirmed && !involvement.crash->isConfirmed)
            continue;
        if (!counted.empty() && involvement.sentAt <= counted.back().crash->endedAt)
            continue;
        counted.push_back(involvement);
    }
    return counted;
}

/// Returns how often per second a server crashed before the request's last crash, without the crashes of this request
/// and of those that convicted ones explain. Neither later crashes nor the time since then change the verdict.
double crashRate(const CrashEvidence& evidence, const RequestFingerprint& request, const Convicted& convicted,
    std::size_t servers, SteadyTime lastCrash)
{
    const auto& times = evidence.crashTimes();
    const auto crashes = std::count_if(times.begin(), times.end(), [&](const auto& entry) {
        const auto known = evidence.crashes().find(entry.first);
        const bool isOther = known == evidence.crashes().end()
            || (!known->second.suspects.contains(request) && !isExplained(known->second, request, convicted));
        return isOther && entry.second <= lastCrash && lastCrash - entry.second <= crashRateWindow;
    });
    const std::chrono::duration<double> window = crashRateWindow;
    // One more than were seen: without it, no crash in the window would make any verdict certain.
    return static_cast<double>(crashes + 1) / (window.count() * static_cast<double>(std::max<std::size_t>(1, servers)));
}

/// Returns the probability that a request is at so many crashes in succession by chance.
double chanceOf(const Involvements& counted, double rate)
{
    double chance = 1;
    for (const Involvement& involvement : counted) {
        const std::chrono::duration<double> exposure = involvement.crash->endedAt - involvement.sentAt;
        chance *= std::min(1.0, rate * std::max(minExposure, exposure).count());
    }
    return chance;
}

bool isSame(const Involvements& left, const Involvements& right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](const Involvement& one, const Involvement& other) { return one.crash == other.crash; });
}

/// Whether nothing shows that it is this suspect that is to blame, and not the other one: all crashes of the other are
/// its own as well, it had none after them, and they are enough for a verdict on the other.
bool isInseparable(
    const Involvements& counted, const Involvements& own, const Involvements& other, std::uint32_t crashesToVerdict)
{
    const auto isIn = [](const Involvement& involvement, const Involvements& involvements) {
        return std::any_of(involvements.begin(), involvements.end(),
            [&](const Involvement& one) { return one.crash == involvement.crash; });
    };
    return !counted.empty() && isIn(counted.back(), other)
        && std::all_of(other.begin(), other.end(), [&](const Involvement& one) { return isIn(one, own); })
        && inSuccession(other, true).size() >= crashesToVerdict;
}

Standing standing(const Involvements& involvements)
{
    Standing standing;
    standing.crashes = static_cast<std::uint32_t>(inSuccession(involvements, true).size());
    standing.possibleCrashes = static_cast<std::uint32_t>(inSuccession(involvements, false).size());
    if (involvements.empty())
        return standing;
    standing.firstCrash = involvements.front().crash->endedAt;
    standing.lastCrash = involvements.back().crash->endedAt;
    for (const Involvement& involvement : involvements)
        standing.servers.push_back(involvement.crash->server);
    return standing;
}

Deadline quarantineEnd(const Standing& standing, const QuarantineSettings& settings)
{
    const std::uint32_t doublings = std::min(standing.crashes - settings.crashes, maxDoublings);
    return Deadline::after(standing.lastCrash, std::min(maxQuarantine, settings.duration * (1 << doublings)));
}

} // namespace

Standings judge(const CrashEvidence& evidence, const QuarantineSettings& settings, std::size_t servers)
{
    std::map<RequestFingerprint, Involvements> all;
    for (const auto& [server, crash] : evidence.crashes()) {
        for (const auto& [request, sentAt] : crash.suspects)
            all[request].push_back({ sentAt, &crash });
    }
    Standings standings;
    std::vector<std::tuple<std::size_t, std::size_t, RequestFingerprint>> order;
    for (auto& [request, involvements] : all) {
        std::sort(involvements.begin(), involvements.end(), [](const Involvement& left, const Involvement& right) {
            return left.crash->endedAt < right.crash->endedAt;
        });
        order.emplace_back(inSuccession(involvements, true).size(), involvements.size(), request);
    }
    std::sort(order.begin(), order.end(), std::greater<> {});
    const auto judgeOne = [&](const RequestFingerprint& request, const Convicted& convicted) {
        const Involvements own = unexplained(all[request], request, convicted);
        Standing found = standing(own);
        const Involvements counted = inSuccession(own, true);
        found.isQuarantined = found.crashes >= settings.crashes
            && chanceOf(counted, crashRate(evidence, request, convicted, servers, found.lastCrash)) <= maxChance;
        if (!found.isQuarantined)
            return found;
        found.until = quarantineEnd(found, settings);
        for (const auto& [other, crashesOfOther] : all) {
            if (other == request || convicted.contains(other))
                continue;
            // Of two requests at the same crashes, a further crash shows which it is.
            if (!request.isPart() && !other.isPart())
                found.isQuarantined = found.isQuarantined
                    && (found.crashes > settings.crashes || !isSame(crashesOfOther, all[request]));
            else if (isInseparable(counted, own, crashesOfOther, settings.crashes))
                found.inseparable.push_back(other);
        }
        return found;
    };
    Convicted convicted;
    // Crashes that one verdict explains make others less likely to be by chance.
    for (std::size_t before = 1; before != convicted.size();) {
        before = convicted.size();
        for (const auto& [crashes, involvements, request] : order) {
            if (convicted.contains(request) || (!request.isPart() && standings.contains(request)))
                continue;
            Standing found = judgeOne(request, convicted);
            if (found.isQuarantined && found.inseparable.empty())
                convicted.insert(request);
            if (found.servers.empty())
                standings.erase(request);
            else
                standings[request] = std::move(found);
        }
    }
    return standings;
}

} // namespace lagoon::quarantine
