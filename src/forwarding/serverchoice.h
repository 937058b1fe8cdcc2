#pragma once

#include "forwarding/enginespeed.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::forwarding {

/// A server of a plain service as this router sees it.
struct ServerView {
    std::uint32_t slots = 1;
    /// Requests of this router that the server hasn't answered yet.
    std::uint32_t ownInFlight = 0;
    bool isSuspect = false;
    bool isInOwnFailureDomain = false;
    /// Whether this request has already been sent to the server.
    bool wasTried = false;
};

/// Chooses the server of a plain service with the fewest own requests per slot. Among equals it prefers one in the own
/// failure domain, because traffic between domains costs time and money, and otherwise decides by `random` in [0, 1).
/// Suspect servers and servers that were already tried are chosen only if there is no other. Returns std::nullopt only
/// if there are no servers.
std::optional<std::size_t> chooseServer(const std::vector<ServerView>&, double random);

/// An engine that has the request's model loaded.
struct EngineView {
    std::uint32_t slots = 1;
    /// As its agent last reported; zero without an agent.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Streams that run there, and the prompt tokens that are being read for others: each other's delay.
    std::uint32_t streams = 0;
    std::uint64_t readingTokens = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    /// The number of requests in `queued` that have precedence over this one.
    std::uint32_t queuedAhead = 0;
    /// This router's requests at the engine that have no first event yet, and the prompt tokens that the engine has to
    /// process for them: for all of them, and for those that have precedence over this request.
    std::uint32_t ownStarting = 0;
    std::uint64_t ownStartingTokens = 0;
    std::uint64_t ownTokensAhead = 0;
    /// Prompt tokens of this request that the engine would have to process.
    std::uint64_t newTokens = 0;
    /// All tokens that this request will occupy in the engine's memory.
    std::uint64_t memoryTokens = 0;
    /// The engine's position in the order in which all routers prefer engines for prompts with the same beginning.
    std::uint32_t affinityRank = 0;
    double tokensPerMillisecond = promptTokensPerMillisecond;
    bool isSuspect = false;
    bool isInOwnFailureDomain = false;
    bool wasTried = false;
};

/// What the callers of a request and of the streams around it expect.
struct StreamAims {
    /// Of the request; 0 if the delay of streams isn't weighed.
    framework::Milliseconds targetLatency { 0 };
    /// Of the request; 0 if it is no stream or may pause for any time.
    framework::Milliseconds maxEventGap { 0 };
    /// The shortest that any stream at the engines may have; 0 if all may pause for any time.
    framework::Milliseconds shortestMaxEventGap { 0 };
};

struct EngineChoice {
    std::size_t index = 0;
    /// The time until the first event.
    framework::Milliseconds expected { 0 };
};

/// The number of streams, in part by their probability, that are late because this request is read where they run; the
/// request's own stream is one of them.
double expectedLateStreams(const EngineView&, const StreamAims&);

/// Chooses the engine that is expected to send the first event soonest, or a little later where the choice makes fewer
/// streams late. Suspect engines and engines that were already tried are chosen only if there is no other.
std::optional<EngineChoice> chooseEngine(const std::vector<EngineView>&, const StreamAims& = {});

} // namespace lagoon::forwarding
