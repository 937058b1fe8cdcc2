#pragma once

#include "forwarding/internal/ijobhost.h"
#include "forwarding/internal/inflightguard.h"
#include "forwarding/promptcache.h"
#include "forwarding/requiredversion.h"

#include <memory>
#include <optional>
#include <set>
#include <string>

namespace lagoon::forwarding {

struct JobSpec;
struct RequestPermit;

/// The server chosen for a request, and the data behind the choice.
struct ChosenUpstream {
    UpstreamPointer upstream;
    std::shared_ptr<http::ClientConnection> connection;
    std::uint64_t newTokens = 0;
    ReadingSample sample;
    framework::Milliseconds expected { 0 };
    std::size_t candidates = 0;
    /// Age of the state that the engine's agent reported; std::nullopt if there is none.
    std::optional<framework::Milliseconds> stateAge;
    /// Age of the platform's list of servers; std::nullopt if the list was never confirmed.
    std::optional<framework::Milliseconds> listAge;
};

/// Why no server can be chosen now.
enum class NoUpstream : std::uint8_t {
    NoneReady, ///< the list has no ready server for the service
    NoneOfVersion, ///< no ready server of the required version has the model, or can load it in time
    NoneLeft, ///< the request was sent to the maximum number of servers
    NotLoaded, ///< no engine has the model loaded
    AdapterNotLoaded, ///< engines have the model loaded, but none the adapter
    AllConnectionsTaken,
    Overloaded, ///< the queues of all engines with the model are too long and stay so
    PermitNeeded, ///< the best server limits its requests, so a permit has to be asked for first
    Resting, ///< all servers that could serve it have asked for a rest
    RateLimited, ///< all servers that could serve it limit their requests, and have no permit left in time
};

struct UpstreamSearch {
    std::optional<ChosenUpstream> chosen;
    NoUpstream reason = NoUpstream::NoneReady;
    /// The engine that should load the adapter, or the model if a version is required; empty if any engine may.
    framework::Endpoint loadAt;
    /// For `Overloaded`: the shortest expected time to the first event.
    framework::Milliseconds expected { 0 };
    /// For `PermitNeeded`: the server, and whether the request may wait for its turn there as no other server can take
    /// it now.
    UpstreamPointer permitAt;
    bool mayWait = false;
    /// For `RateLimited` and `Resting`: when a server may take the request.
    framework::Deadline availableAt;
    /// For `Resting`: no server of the service is awake, so that none can load the model either.
    bool restsService = false;
};

/// The servers that one request has tried.
struct TriedServers {
    /// The request was sent to these servers and may have reached them.
    std::set<catalog::UpstreamRun> sentTo;
    /// These servers couldn't be reached, or can't serve the request.
    std::set<catalog::UpstreamRun> avoided;
    /// These servers limit their requests, and the request's turn there would come too late.
    std::set<catalog::UpstreamRun> withoutTurn;
    /// The request was sent over these connections. An answer names only the request, so that another answer over one
    /// of them could as well be a late duplicate of an earlier one.
    std::vector<std::weak_ptr<http::ClientConnection>> connections;

    bool has(const UpstreamRecord& server) const
    {
        const catalog::UpstreamRun run = server.facts.run();
        return sentTo.contains(run) || avoided.contains(run);
    }
};

/// Finds a server that can take the request now, and a connection to it. If a version is required, only servers of that
/// version are considered. A server that limits its requests is chosen only with a permit for it, one that rests never.
UpstreamSearch findUpstream(IJobHost&, const JobSpec&, const PromptChain&, const TriedServers&,
    const std::optional<RequiredVersion>& = std::nullopt, const std::optional<RequestPermit>& = std::nullopt);

/// Returns when the first of the servers that could serve the request ends its rest; std::nullopt if one doesn't rest.
std::optional<framework::Deadline> restEnd(IJobHost&, const JobSpec&);
/// Whether all servers of the request's service rest.
bool isServiceResting(IJobHost&, const JobSpec&);

} // namespace lagoon::forwarding
