#pragma once

#include "forwarding/internal/ijobhost.h"
#include "forwarding/promptcache.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lagoon::forwarding {

struct JobSpec;

/// A server for a request, and what decided for it.
struct ChosenUpstream {
    UpstreamPointer upstream;
    std::shared_ptr<http::ClientConnection> connection;
    std::uint64_t newTokens = 0;
    framework::Milliseconds expected { 0 };
    std::size_t candidates = 0;
    /// Age of what the engine's agent said; nothing if none spoke.
    std::optional<framework::Milliseconds> stateAge;
    /// Age of the platform's list of servers; nothing if it was never confirmed.
    std::optional<framework::Milliseconds> listAge;
};

/// Why there is none now.
enum class NoUpstream : std::uint8_t {
    NoneReady, ///< the list has none for the service
    NoneLeft, ///< it was sent to as many as it may be
    NotLoaded, ///< no engine has the model
    AdapterNotLoaded, ///< an engine has the model, but none the adapter
    AllConnectionsTaken,
    Overloaded, ///< the queue at each engine that has the model is too long, and stays so
};

struct UpstreamSearch {
    std::optional<ChosenUpstream> chosen;
    NoUpstream reason = NoUpstream::NoneReady;
    /// For `AdapterNotLoaded`: the engine that should load it.
    framework::Endpoint adapterAt;
    /// For `Overloaded`: the shortest time to the first event.
    framework::Milliseconds expected { 0 };
};

/// The servers that one request has tried.
struct TriedServers {
    /// It was sent there, and may have reached them.
    std::set<catalog::UpstreamRun> sentTo;
    /// They couldn't be reached, or are no use for it.
    std::set<catalog::UpstreamRun> avoided;

    bool has(const UpstreamRecord& server) const
    {
        const catalog::UpstreamRun run = server.facts.run();
        return sentTo.contains(run) || avoided.contains(run);
    }
};

/// Finds a server that can take the request now, and a connection to it.
UpstreamSearch findUpstream(IJobHost&, const JobSpec&, const PromptChain&, const TriedServers&);

} // namespace lagoon::forwarding
