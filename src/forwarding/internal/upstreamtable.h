#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "forwarding/demandplanner.h"
#include "forwarding/liveness.h"
#include "forwarding/outlierdetector.h"
#include "forwarding/promptcache.h"
#include "forwarding/replicaindex.h"
#include "framework/types/time.h"
#include "http/connectionpool.h"
#include "policy/policyswitches.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// One run of a server with what this router has under way there. Kept alive by its requests when the list drops it or
/// the server starts again.
struct UpstreamRecord {
    UpstreamRecord(boost::asio::io_context&, const catalog::Upstream&);

    catalog::Upstream facts;
    http::ConnectionPool connections;
    OutlierDetector outlierDetector;
    Liveness liveness;
    /// Another server has its address by now, though the list still has it.
    bool isReplaced = false;
    /// Until then it is thought to hold nothing.
    framework::Deadline unreachableUntil;
    PromptCache prompts;
    std::uint32_t inFlight = 0;
    /// By what runs there.
    std::map<catalog::ModelTarget, std::uint32_t> inFlightByTarget;
    /// Requests without their first event, and the prompt tokens that they need read, by the route's priority.
    std::uint32_t starting = 0;
    std::map<std::uint32_t, std::uint64_t> startingTokens;
};

using UpstreamPointer = std::shared_ptr<UpstreamRecord>;

/// What an engine's agent said last.
struct ReportedState {
    catalog::EngineState state;
    framework::SteadyTime at {};
};

/// The servers that this router knows, and what agents say of engines. Belongs to the traffic thread.
class UpstreamTable {
public:
    explicit UpstreamTable(boost::asio::io_context& context)
        : context_(context)
    {
    }

    void setPolicy(const policy::PolicySwitches& policy) { policy_ = policy; }
    void setUpstreams(const std::vector<catalog::Upstream>&);
    void didConfirmList(framework::SteadyTime at) { listConfirmedAt_ = at; }
    /// Since the platform's list was last known to be current; nothing if it never was.
    std::optional<framework::Milliseconds> listAge(framework::SteadyTime now) const;
    void setConfiguration(catalog::ConfigurationPointer);
    void setState(catalog::EngineState, framework::SteadyTime now);
    /// The rest of the state is as it was set last.
    void setLoad(const catalog::EngineLoad&, framework::SteadyTime now);
    /// What the engine's agent said holds no longer.
    void forgetState(const framework::Endpoint&);
    /// The engine's agent can't be reached.
    void didLoseAgent(const framework::Endpoint&, framework::SteadyTime now);
    /// Whether that still holds.
    bool hasLostAgent(const UpstreamRecord& record) const { return unreachableAgents_.contains(record.facts.endpoint); }
    std::set<framework::Endpoint> enginesWithoutAgent() const;

    /// Whether the record is still that of a listed server that takes new requests.
    bool isInService(const UpstreamRecord&) const;
    /// Servers of the service that take new requests.
    std::vector<UpstreamPointer> ready(const framework::ServiceName&) const;
    bool hasReady(const framework::ServiceName&) const;
    /// Engines of the service that take new requests and may serve the model: by agents or, for those that this router
    /// doesn't subscribe to, by the list. `hasLoaded` has the last word.
    std::vector<UpstreamPointer> serving(const framework::ServiceName&, const framework::ModelName&) const;
    /// What all engines of the service have, by the same sources.
    const ReplicaIndex& replicas(const framework::ServiceName&) const;
    /// What the engine's agent says, if it has lately.
    const ReportedState* state(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether the engine holds the target and goes on holding it, by its agent or, without one, by the list.
    bool hasLoaded(const UpstreamRecord&, const catalog::ModelTarget&, framework::SteadyTime now) const;
    /// The server refused the target as not held; so it isn't until its agent or the list says it anew.
    void didReportNotLoaded(UpstreamRecord&, const catalog::ModelTarget&);
    /// Whether the server failed lately and is to be passed by.
    bool isSuspect(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether the server has fallen silent while others of its service have not. Guards against a router that takes
    /// its own standstill, or the loss of its links, for that of its servers: then most of them seem silent at once.
    bool isSilent(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether any server may be, by its own liveness alone: a quick look before each is asked for.
    bool mayAnyBeSilent(framework::SteadyTime now) const;
    /// Whether the server brings nothing for longer than it has lately, and others may be better for the moment.
    bool isPausing(const UpstreamRecord&, framework::SteadyTime now) const;
    /// The engine can't be connected to: what its agent said last is of a process that has ended. Its agent says so
    /// only by its silence, so callers would be refused, one after the other, by the engine that held their model, and
    /// no other would be asked to load it.
    void didFailToConnect(UpstreamRecord&, framework::SteadyTime now);
    /// Believes the list again about engines that couldn't be connected to a while ago.
    void expireUnreachable(framework::SteadyTime now);
    /// Engines of the service that an agent speaks for.
    std::vector<EngineFacts> engines(const framework::ServiceName&, framework::SteadyTime now) const;
    /// The most routers that any agent hears from; a guess without agents.
    std::uint32_t routers() const;
    bool isEmpty() const { return records_.empty(); }

private:
    struct ServiceRecords {
        std::map<framework::Endpoint, UpstreamPointer> byEndpoint;
        ReplicaIndex replicas;
    };

    static void didSeeActivity(UpstreamRecord&, framework::SteadyTime now);
    const ReportedState* lastReport(const UpstreamRecord&) const;
    UpstreamPointer find(const framework::Endpoint&) const;
    void upsert(const catalog::Upstream&);
    void addToIndex(const UpstreamPointer&);
    void removeFromIndex(const UpstreamPointer&);
    void refreshReplicas(const UpstreamRecord&);
    /// Whether there was one. What the engine has isn't indexed anew.
    bool eraseState(const framework::Endpoint&);
    ReplicaIndex::Contents contentsOf(const UpstreamRecord&) const;
    /// Whether a server's restart is known by this only.
    bool noteRestart(const catalog::EngineState&);
    void limitConnections();

    boost::asio::io_context& context_;
    policy::PolicySwitches policy_;
    catalog::ConfigurationPointer configuration_;
    std::map<catalog::InstanceId, UpstreamPointer> records_;
    std::optional<framework::SteadyTime> listConfirmedAt_;
    std::map<framework::ServiceName, ServiceRecords> services_;
    std::unordered_map<framework::Endpoint, ReportedState> states_;
    /// What each of them says of the number of routers.
    std::multiset<std::uint32_t> routerCounts_;
    /// Engines whose agents couldn't be reached, and until when that is believed.
    std::map<framework::Endpoint, framework::Deadline> unreachableAgents_;
    /// Engines that couldn't be connected to lately.
    std::set<framework::Endpoint> unreachable_;
};

} // namespace lagoon::forwarding
