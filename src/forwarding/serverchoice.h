#pragma once

#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace lagoon::forwarding {

/// A server of a plain service as this router sees it.
struct ServerView {
    std::uint32_t slots = 1;
    /// Sent by this router and not answered yet.
    std::uint32_t ownInFlight = 0;
    bool isSuspect = false;
    bool isInOwnFailureDomain = false;
    /// This request was sent there before.
    bool wasTried = false;
};

/// Chooses a server of a plain service: fewest own requests for its slots; among equals one in the own failure domain,
/// since bytes between domains cost time and money, and otherwise by `random` in [0, 1). Suspects and servers that were
/// tried are taken only if there is nothing else. Nothing only if there are none.
std::optional<std::size_t> chooseServer(const std::vector<ServerView>&, double random);

/// An engine that holds the request's model.
struct EngineView {
    std::uint32_t slots = 1;
    /// As its agent last said; zero if no agent speaks for it.
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::uint64_t usedTokens = 0;
    std::uint64_t totalTokens = 0;
    /// Of `queued`, those that go before this request.
    std::uint32_t queuedAhead = 0;
    /// This router's requests there that haven't brought their first event, and the prompt tokens that they need read:
    /// of all of them, and of those that go before this request.
    std::uint32_t ownStarting = 0;
    std::uint64_t ownStartingTokens = 0;
    std::uint64_t ownTokensAhead = 0;
    /// Prompt tokens of this request that it would have to read.
    std::uint64_t newTokens = 0;
    /// All tokens that this request will take up there.
    std::uint64_t memoryTokens = 0;
    /// Its place in the order in which all routers prefer engines for prompts that begin like this one.
    std::uint32_t affinityRank = 0;
    bool isSuspect = false;
    bool isInOwnFailureDomain = false;
    bool wasTried = false;
};

struct EngineChoice {
    std::size_t index = 0;
    /// Until the first event.
    framework::Milliseconds expected { 0 };
};

/// Chooses the engine that is expected to bring the first event soonest. Suspects and engines that were tried are taken
/// only if there is nothing else.
std::optional<EngineChoice> chooseEngine(const std::vector<EngineView>&);

} // namespace lagoon::forwarding
