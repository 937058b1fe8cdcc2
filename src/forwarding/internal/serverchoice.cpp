#include "forwarding/serverchoice.h"

#include "forwarding/enginespeed.h"
#include "framework/durations.h"

#include <algorithm>
#include <tuple>

namespace lagoon::forwarding {

namespace {

using framework::Milliseconds;

/// Assumed prompt tokens of a request that another router has queued at the engine: agents don't report its size.
constexpr double assumedQueuedTokens = 3000;
/// The delay that each running request causes over the prefill of one prompt: it makes the engine slower at producing
/// the next token of every request.
constexpr double millisecondsPerRunning = 1.5;
/// An engine that runs out of memory preempts: it later processes the newest of the least urgent requests again.
constexpr double millisecondsWithoutMemory = 3000;
constexpr double millisecondsWithoutSlot = 1500;
/// A round trip between failure domains, and the price of the traffic.
constexpr double millisecondsToOtherDomain = 6;
/// Processing shared parts again on another engine costs all requests there time, in addition to what it costs this
/// request.
constexpr double millisecondsPerAffinityRank = 12;

/// The part of its target latency that a request may lose so that streams aren't late: it mustn't become late itself.
constexpr double maxConcession = 0.5;

double expectedMilliseconds(const EngineView& engine)
{
    const double waitingTokens = static_cast<double>(engine.ownTokensAhead) + engine.queuedAhead * assumedQueuedTokens;
    double expected = (waitingTokens + static_cast<double>(engine.newTokens)) / engine.tokensPerMillisecond;
    expected += millisecondsPerRunning * engine.running;
    expected += millisecondsPerAffinityRank * engine.affinityRank;
    if (!engine.isInOwnFailureDomain)
        expected += millisecondsToOtherDomain;
    if (engine.running + engine.queued + engine.ownStarting >= engine.slots)
        expected += millisecondsWithoutSlot;
    if (engine.totalTokens > 0
        && engine.usedTokens + engine.ownStartingTokens + engine.memoryTokens > engine.totalTokens)
        expected += millisecondsWithoutMemory;
    return expected;
}

/// The probability that a stream is late at an engine that reads this many tokens while it runs. The time is an
/// estimate, so the probability rises from half of the gap that is allowed to one and a half.
double lateness(std::uint64_t tokens, const EngineView& engine, Milliseconds maxEventGap)
{
    if (maxEventGap.count() <= 0)
        return 0;
    const double reading = static_cast<double>(tokens) / engine.tokensPerMillisecond;
    return std::clamp(reading / static_cast<double>(maxEventGap.count()) - 0.5, 0.0, 1.0);
}

} // namespace

double expectedLateStreams(const EngineView& engine, const StreamAims& aims)
{
    const double added = lateness(engine.readingTokens + engine.newTokens, engine, aims.shortestMaxEventGap)
        - lateness(engine.readingTokens, engine, aims.shortestMaxEventGap);
    return engine.streams * added + lateness(engine.readingTokens, engine, aims.maxEventGap);
}

std::optional<std::size_t> chooseServer(const std::vector<ServerView>& servers, double random)
{
    if (servers.empty())
        return std::nullopt;
    // Different routers start at different servers, so that equal servers don't all lose to the first one in the list.
    const std::size_t offset
        = std::min(servers.size() - 1, static_cast<std::size_t>(random * static_cast<double>(servers.size())));
    const auto cost = [&](std::size_t index) {
        const ServerView& server = servers[index];
        const double load = static_cast<double>(server.ownInFlight) / std::max<std::uint32_t>(1, server.slots);
        return std::tuple(server.wasTried, server.isSuspect, load, !server.isInOwnFailureDomain,
            (index + servers.size() - offset) % servers.size());
    };
    std::size_t best = 0;
    for (std::size_t index = 1; index < servers.size(); ++index) {
        if (cost(index) < cost(best))
            best = index;
    }
    return best;
}

std::optional<EngineChoice> chooseEngine(const std::vector<EngineView>& engines, const StreamAims& aims)
{
    std::optional<std::size_t> best;
    double expected = 0;
    std::tuple<bool, bool, double> leastCost;
    for (std::size_t index = 0; index < engines.size(); ++index) {
        const EngineView& engine = engines[index];
        const double untilFirstEvent = expectedMilliseconds(engine);
        const double delay = std::min(1.0, expectedLateStreams(engine, aims)) * maxConcession
            * static_cast<double>(aims.targetLatency.count());
        const std::tuple cost(engine.wasTried, engine.isSuspect, untilFirstEvent + delay);
        if (best && leastCost <= cost)
            continue;
        best = index;
        leastCost = cost;
        expected = untilFirstEvent;
    }
    if (!best)
        return std::nullopt;
    return EngineChoice { *best, framework::boundedMilliseconds(expected) };
}

} // namespace lagoon::forwarding
