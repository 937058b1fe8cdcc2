#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "fairness/usesums.h"
#include "forwarding/demandplanner.h"
#include "forwarding/forwardersettings.h"
#include "forwarding/irequestdialect.h"
#include "framework/eventthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/shutdowndeadlines.h"
#include "http/bytebudget.h"
#include "http/iexchange.h"
#include "quarantine/suspectreport.h"
#include "quarantine/types/evidence.h"
#include "quotas/icustomerquotas.h"
#include "ratelimits/iserverpermits.h"
#include "streams/istreamorigins.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lagoon::forwarding {

/// Forwards callers' requests directly to the servers of their routes' services, and keeps each request until it has
/// its one final answer. For deployments whose servers report which requests they did not run, and drop the work of a
/// connection that closes; other servers are reached through their agents (see router/).
///
/// Belongs to the traffic thread unless stated otherwise.
class Forwarder final : public http::IExchangeHandler {
public:
    struct Context {
        framework::EventThread& traffic;
        const framework::IClock& clock;
        const IRequestDialect& dialect;
        std::shared_ptr<framework::Metrics> metrics;
        /// Subscribes to the engines' agents and publishes demand to them; called on the traffic thread.
        std::function<void(const LoadPlan&)> publish;
        /// Passes evidence about requests that crash their servers on to the other routers; called on the traffic
        /// thread.
        std::function<void(const quarantine::EvidenceUpdate&)> shareEvidence;
        /// Which software began which stream; called, and calls back, on the traffic thread.
        streams::IStreamOrigins& origins;
        /// Permits to send requests to servers that limit them; called, and calls back, on the traffic thread.
        ratelimits::IServerPermits& permits;
        /// What customers may use; called, and calls back, on the traffic thread.
        quotas::ICustomerQuotas& quotas;
        /// Reports what this router's customers used; called on the traffic thread once a second if there are
        /// customers.
        std::function<void(const fairness::UseReport&)> reportUse;
        /// Answers are held in it until they are complete; those that don't fit in are broken off.
        std::shared_ptr<http::ByteBudget> budget;
    };

    Forwarder(Context, const ForwarderSettings&);
    ~Forwarder() override;
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    void handle(const std::shared_ptr<http::IExchange>&) override;

    /// Begins to publish demand to the agents.
    void start();
    void setSettings(const ForwarderSettings&);
    void setConfiguration(catalog::ConfigurationPointer);
    /// Confirms that the configuration was current as of this time.
    void didConfirmConfiguration(framework::SteadyTime);
    void setUpstreams(const std::vector<catalog::Upstream>&);
    /// Confirms that the list of upstreams was current as of this time.
    void didConfirmUpstreams(framework::SteadyTime);
    void setEngineState(catalog::EngineState);
    /// Updates the load figures of an engine; the rest of its state stays as it was last set.
    void setEngineLoad(const catalog::EngineLoad&);
    /// Drops the engine's state because this router no longer subscribes to it.
    void forgetEngine(const framework::Endpoint&);
    /// Adds what other routers have seen of requests that crash their servers.
    void addEvidence(const quarantine::EvidenceUpdate&);
    /// Adds what servers have said about their limits to other routers.
    void addLimits(const std::vector<ratelimits::LimitStatement>&);
    /// Sets what customers used over all routers.
    void setCustomerUse(const fairness::SummedUse&);
    /// Returns the requests that are suspected to crash their servers, or quarantined for it.
    std::vector<quarantine::SuspectSummary> suspects();
    /// Frees a request on all routers. Returns whether it was suspected.
    bool release(const quarantine::ReleaseOrder&);
    /// The engine's agent can't be reached.
    void didLoseAgent(const framework::Endpoint&);
    /// This process shuts down: each request, also one that arrives later, gets its final answer by `answerBy`, and
    /// requests that no server has by `startBy` are refused.
    void beginShutdown(const framework::ShutdownDeadlines&);
    /// Ends each pending request at once with the answer that it would get at the shutdown deadline.
    void answerNow();
    /// The number of requests without a final answer.
    std::size_t requests() const;
    /// Logs one line for each pending request, with its state and how long it has waited. Called at the end of the
    /// process.
    void logUnanswered() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::forwarding
