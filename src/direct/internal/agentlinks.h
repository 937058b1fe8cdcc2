#pragma once

#include "catalog/types/upstream.h"
#include "fairness/usesums.h"
#include "forwarding/demandplanner.h"
#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/periodictask.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "objectstore/backoff.h"
#include "quarantine/evidencesharing.h"
#include "quotas/quotaexchange.h"
#include "ratelimits/permitexchange.h"
#include "streams/originexchange.h"
#include "wire/ilink.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace lagoon::direct {

/// A router's links to the agents of the engines that it subscribes to. Runs on the control thread.
///
/// Both ends send at least one message per second. A link without messages for longer counts as dead, even if its
/// connection is still open, and is replaced.
class AgentLinks {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        wire::ILinkTransport& transport;
        framework::VmName router;
        std::uint16_t agentPort = 0;
        std::function<void(catalog::EngineState)> didReceiveState;
        std::function<void(catalog::EngineLoad)> didReceiveLoad;
        /// Called with what was new of the evidence that other routers share.
        std::function<void(const quarantine::EvidenceUpdate&)> didReceiveEvidence;
        /// Called with what servers have said about their limits to other routers.
        std::function<void(const std::vector<ratelimits::LimitStatement>&)> didReceiveLimits;
        /// Called with what customers used over all routers.
        std::function<void(const fairness::SummedUse&)> didReceiveUse;
        /// Called when the agent can't be reached or has fallen silent.
        std::function<void(const framework::Endpoint& engine)> didLoseAgent;
        /// Called when the link was closed because the subscription ended.
        std::function<void(const framework::Endpoint& engine)> didUnsubscribe;
        std::shared_ptr<framework::Metrics> metrics;
    };

    explicit AgentLinks(Context);
    ~AgentLinks();
    AgentLinks(const AgentLinks&) = delete;
    AgentLinks& operator=(const AgentLinks&) = delete;

    /// Sets the engines that have agents. Subscriptions to other engines end.
    void setEngines(const std::vector<catalog::Upstream>&);
    /// Opens and closes links according to the plan's subscriptions, and publishes changed demand to each agent. The
    /// demand at an engine that the plan doesn't name stays as it was.
    void apply(const forwarding::LoadPlan&);
    /// Passes evidence of this router on to the other routers, through the agents of the plan's relays.
    void share(const quarantine::EvidenceUpdate&);
    /// Reports what customers used to the agents of the plan's relays, which add it up over all routers.
    void reportUse(const fairness::UseReport&);
    /// Which software began which stream, as the agents of the plan's keepers know it.
    streams::IStreamOrigins& origins() { return origins_; }
    /// Permits to send requests to limited servers, as the agents grant them.
    ratelimits::IServerPermits& permits() { return permits_; }
    /// The customers' quotas, as the agents of the plan's keepers grant them.
    quotas::QuotaExchange& quotas() { return quotas_; }

private:
    /// What the platform's list says of an engine.
    struct Engine {
        catalog::InstanceId instance;
        framework::FailureDomainName failureDomain;
    };

    struct Agent {
        Agent();

        catalog::InstanceId instance;
        std::shared_ptr<wire::ILink> link;
        /// Whether a message has been received over the current link.
        bool hasReceived = false;
        /// Whether a message has been received over any link to the agent.
        bool hasEverReceived = false;
        /// Whether the link is open and its agent understands evidence.
        bool takesEvidence = false;
        /// Whether the link is open and its agent keeps the origins of streams.
        bool keepsOrigins = false;
        /// Whether the link is open and its agent grants permits.
        bool grantsPermits = false;
        /// Whether the link is open and its agent keeps quotas.
        bool keepsQuotas = false;
        /// Whether the link is open and its agent adds up what customers use.
        bool sumsUse = false;
        /// The number of routers that the agent last reported.
        std::uint32_t routers = 0;
        bool isRelay = false;
        framework::SteadyTime receivedAt {};
        framework::SteadyTime publishedAt {};
        framework::Deadline connectAt;
        objectstore::Backoff backoff;
        catalog::DemandList demand;
        std::string publishedDigest;
    };

    void tick();
    void connect(const framework::Endpoint& engine, Agent&);
    void drop(const framework::Endpoint& engine, Agent&, const std::string& cause);
    void didLoseAbilities(const framework::Endpoint& engine, Agent&);
    void publish(Agent&);
    void didReceive(const framework::Endpoint& engine, const std::shared_ptr<wire::ILink>&, const wire::Message&);
    void didClose(const framework::Endpoint& engine, const std::shared_ptr<wire::ILink>&, const framework::Error&);

    void didReceiveState(const framework::Endpoint& engine, Agent&, const wire::fb::EngineStateT&);
    void noteRouters();
    void setRelays(const std::set<framework::Endpoint>&);
    void setKeepers(const std::set<framework::Endpoint>&);
    void sendEverything(Agent&);
    void receiveEvidence(const Agent& from, const wire::fb::CrashEvidenceT&);
    void sendEvidence(const wire::Message&);
    void subscribe(const framework::Endpoint& engine);
    void unsubscribe(const std::set<framework::Endpoint>& kept);

    Context context_;
    std::map<framework::Endpoint, Engine> engines_;
    /// Agents of the engines that this router subscribes to.
    std::map<framework::Endpoint, Agent> agents_;
    quarantine::EvidenceSharing evidence_;
    streams::OriginExchange origins_;
    ratelimits::PermitExchange permits_;
    quotas::QuotaExchange quotas_;
    framework::PeriodicTask ticks_;
    std::shared_ptr<int> alive_ = std::make_shared<int>(0);
};

} // namespace lagoon::direct
