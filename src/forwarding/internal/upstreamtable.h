#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "forwarding/demandplanner.h"
#include "forwarding/enginespeeds.h"
#include "forwarding/liveness.h"
#include "forwarding/outlierdetector.h"
#include "forwarding/promptcache.h"
#include "forwarding/replicaindex.h"
#include "framework/types/time.h"
#include "http/connectionpool.h"
#include "notices/noticetable.h"
#include "policy/policyswitches.h"
#include "quarantine/requestquarantine.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// One run of a server with this router's requests in flight there. The requests keep the record alive when the server
/// is removed from the list or restarts.
struct UpstreamRecord {
    UpstreamRecord(boost::asio::io_context&, const catalog::Upstream&);

    catalog::Upstream facts;
    http::ConnectionPool connections;
    OutlierDetector outlierDetector;
    Liveness liveness;
    /// Another server has this address now, though the list still names this one.
    bool isReplaced = false;
    /// Whether it is the present run of a listed server.
    bool isIndexed = false;
    /// Until this time the server counts as having no models loaded.
    framework::Deadline unreachableUntil;
    PromptCache prompts;
    std::uint32_t inFlight = 0;
    /// The requests in flight by target.
    std::map<catalog::ModelTarget, std::uint32_t> inFlightByTarget;
    /// Requests without a first event, and the prompt tokens that the server has to process for them by the route's
    /// priority.
    std::uint32_t starting = 0;
    std::map<std::uint32_t, std::uint64_t> startingTokens;
};

using UpstreamPointer = std::shared_ptr<UpstreamRecord>;

/// The name under which routers tell each other of a server's run.
quarantine::ServerRunId serverRunId(const catalog::UpstreamRun&);

/// The state that an engine's agent last reported, and when.
struct ReportedState {
    catalog::EngineState state;
    framework::SteadyTime at {};
};

/// The servers that this router knows, and the engine states that agents report. Belongs to the traffic thread.
class UpstreamTable {
public:
    explicit UpstreamTable(boost::asio::io_context& context)
        : context_(context)
    {
    }

    /// Called when a run of a server that wasn't draining has ended.
    using RunEndHandler = std::function<void(const catalog::UpstreamRun&, quarantine::EndSign)>;

    void setPolicy(const policy::PolicySwitches& policy) { policy_ = policy; }
    void setRunEndHandler(RunEndHandler handler) { didEndRun_ = std::move(handler); }
    void setUpstreams(const std::vector<catalog::Upstream>&);
    void didConfirmList(framework::SteadyTime at) { listConfirmedAt_ = at; }
    /// Time since the platform's list was last confirmed to be current; std::nullopt if it never was.
    std::optional<framework::Milliseconds> listAge(framework::SteadyTime now) const;
    void setConfiguration(catalog::ConfigurationPointer);
    void setState(catalog::EngineState, framework::SteadyTime now);
    /// Updates the load figures; the rest of the state stays as it was last set.
    void setLoad(const catalog::EngineLoad&, framework::SteadyTime now);
    /// Returns the version of the server's software; std::nullopt if it isn't known, or if the server may have
    /// restarted with another one unseen: the list is out of date, and no agent reports this run.
    std::optional<catalog::SoftwareVersion> softwareVersion(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Drops the state that the engine's agent reported.
    void forgetState(const framework::Endpoint&);
    /// The engine's agent can't be reached.
    void didLoseAgent(const framework::Endpoint&, framework::SteadyTime now);
    /// Whether the engine's agent still counts as unreachable.
    bool hasLostAgent(const UpstreamRecord& record) const { return unreachableAgents_.contains(record.facts.endpoint); }
    std::set<framework::Endpoint> enginesWithoutAgent() const;

    /// An answer of the server says this about whether it takes further requests. Outlives the record.
    notices::NoticeTable::News didReceiveNotice(
        UpstreamRecord&, const notices::ServerNotice&, framework::SteadyTime now);

    /// Whether the server finishes its requests and ends soon, as the list states or as the server itself has said.
    bool isLeaving(const UpstreamRecord&) const;
    /// Whether the server has asked this router for a rest that hasn't ended.
    bool isResting(const UpstreamRecord& record, framework::SteadyTime now) const
    {
        return !notices_.isEmpty() && notices_.isResting(record.facts.run(), now);
    }
    /// Returns when the first of the servers ends its rest; std::nullopt if one doesn't rest, or if there are none.
    std::optional<framework::Deadline> restEnd(const std::vector<UpstreamPointer>&, framework::SteadyTime now) const;
    /// Returns the engines that rest.
    std::vector<framework::Endpoint> restingEngines(framework::SteadyTime now) const;
    /// Whether the record still belongs to a listed server that accepts new requests.
    bool isInService(const UpstreamRecord&) const;
    /// Returns the servers of the service that accept new requests.
    std::vector<UpstreamPointer> ready(const framework::ServiceName&) const;
    bool hasReady(const framework::ServiceName&) const;
    /// Returns the engines of the service that accept new requests and may serve the model, as agents report or, for
    /// engines that this router doesn't subscribe to, as the list states. `hasLoaded` makes the final decision.
    std::vector<UpstreamPointer> serving(const framework::ServiceName&, const framework::ModelName&) const;
    /// Returns the models of all engines of the service, from the same sources.
    const ReplicaIndex& replicas(const framework::ServiceName&) const;
    /// The shortest gap between events that any stream of the service may have; 0 if none is limited.
    framework::Milliseconds shortestMaxEventGap(const framework::ServiceName&) const;
    /// How fast the engines of the service read prompts.
    const std::shared_ptr<EngineSpeeds>& speeds(const framework::ServiceName& service)
    {
        return services_[service].speeds;
    }
    /// Returns the state that the engine's agent reported, or nullptr if there is no recent one.
    const ReportedState* state(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether the engine has the target loaded and isn't unloading it, as its agent reports or, without an agent, as
    /// the list states.
    bool hasLoaded(const UpstreamRecord&, const catalog::ModelTarget&, framework::SteadyTime now) const;
    /// The server rejected the target as not loaded; it counts as not loaded until the agent or the list reports it
    /// again.
    void didReportNotLoaded(UpstreamRecord&, const catalog::ModelTarget&);
    /// Whether the server failed recently and is excluded from selection.
    bool isSuspect(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether the server has fallen silent while others of its service have not. Prevents a router from mistaking its
    /// own stall, or the loss of its network links, for that of its servers: in that case most of them appear silent at
    /// once.
    bool isSilent(const UpstreamRecord&, framework::SteadyTime now) const;
    /// Whether any server may be silent by its own liveness alone; a cheap check before `isSilent` is called for each
    /// server.
    bool mayAnyBeSilent(framework::SteadyTime now) const;
    /// Whether the server's current pause exceeds its recent ones, so that others may be better for the moment.
    bool isPausing(const UpstreamRecord&, framework::SteadyTime now) const;
    /// The engine refuses connections, so the last reported state belongs to a process that has ended. Its agent shows
    /// this only by its silence. Without this, callers would be refused one after the other by the engine that had
    /// their model loaded, and no other engine would be asked to load it.
    void didFailToConnect(UpstreamRecord&, framework::SteadyTime now);
    /// Trusts the list again about engines whose connection failures have expired, and forgets what servers have said
    /// that haven't been listed for long.
    void expire(framework::SteadyTime now);
    /// Returns the engines of the service that have a recent state from an agent.
    std::vector<EngineFacts> engines(const framework::ServiceName&, framework::SteadyTime now) const;
    /// Returns the highest number of routers that any agent reports; an assumed number without agents.
    std::uint32_t routers() const;
    /// Returns the number of routers that agents last reported, also if none does at the moment; std::nullopt if none
    /// ever did.
    std::optional<std::uint32_t> lastKnownRouters() const { return lastKnownRouters_; }
    bool isEmpty() const { return records_.empty(); }

private:
    struct ServiceRecords {
        std::map<framework::Endpoint, UpstreamPointer> byEndpoint;
        ReplicaIndex replicas;
        std::shared_ptr<EngineSpeeds> speeds = std::make_shared<EngineSpeeds>();
    };

    static void didSeeActivity(UpstreamRecord&, framework::SteadyTime now);
    bool takesRequests(const UpstreamRecord&) const;
    void expireUnreachable(framework::SteadyTime now);
    const ReportedState* lastReport(const UpstreamRecord&) const;
    UpstreamPointer find(const framework::Endpoint&) const;
    void upsert(const catalog::Upstream&);
    void addToIndex(const UpstreamPointer&);
    void removeFromIndex(const UpstreamPointer&);
    void refreshReplicas(const UpstreamRecord&);
    /// Returns whether there was a state. Doesn't update the replica index.
    bool eraseState(const framework::Endpoint&);
    ReplicaIndex::Contents contentsOf(const UpstreamRecord&) const;
    /// Returns whether this state is the first report of a restart of the server.
    bool noteRestart(const catalog::EngineState&);
    void limitConnections();
    void noteRouters();
    void didCountRouters(std::uint32_t before);
    void reportRunEnd(const UpstreamRecord&, quarantine::EndSign) const;

    boost::asio::io_context& context_;
    policy::PolicySwitches policy_;
    RunEndHandler didEndRun_;
    catalog::ConfigurationPointer configuration_;
    std::map<framework::ServiceName, framework::Milliseconds> eventGaps_;
    std::map<catalog::InstanceId, UpstreamPointer> records_;
    /// What servers have said in their answers. Kept apart from the records, which the list replaces.
    notices::NoticeTable notices_;
    std::optional<framework::SteadyTime> listConfirmedAt_;
    std::map<framework::ServiceName, ServiceRecords> services_;
    std::unordered_map<framework::Endpoint, ReportedState> states_;
    /// The number of routers that each of these states reports.
    std::multiset<std::uint32_t> routerCounts_;
    std::optional<std::uint32_t> lastKnownRouters_;
    /// Engines whose agents couldn't be reached, and when that expires.
    std::map<framework::Endpoint, framework::Deadline> unreachableAgents_;
    /// Engines that refused connections recently.
    std::set<framework::Endpoint> unreachable_;
};

} // namespace lagoon::forwarding
