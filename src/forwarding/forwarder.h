#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "forwarding/forwardersettings.h"
#include "forwarding/irequestdialect.h"
#include "forwarding/wantedplanner.h"
#include "framework/eventthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/shutdowndeadlines.h"
#include "http/iexchange.h"

#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace lagoon::forwarding {

/// Takes callers' requests straight to the servers of their routes' services, and keeps each until its one final
/// answer. For deployments whose servers say themselves what they didn't run and drop the work of a connection that
/// closes; others are reached through their agents (see router/).
///
/// Belongs to the traffic thread but where said.
class Forwarder final : public http::IExchangeHandler {
public:
    struct Context {
        framework::EventThread& traffic;
        const framework::IClock& clock;
        const IRequestDialect& dialect;
        std::shared_ptr<framework::Metrics> metrics;
        /// Subscribes to the engines' agents and publishes to them; called on the traffic thread.
        std::function<void(const LoadPlan&)> publish;
    };

    Forwarder(Context, const ForwarderSettings&);
    ~Forwarder() override;
    Forwarder(const Forwarder&) = delete;
    Forwarder& operator=(const Forwarder&) = delete;

    void handle(const std::shared_ptr<http::IExchange>&) override;

    /// Begins to tell agents what is wanted.
    void start();
    void setSettings(const ForwarderSettings&);
    void setConfiguration(catalog::ConfigurationPointer);
    void setUpstreams(const std::vector<catalog::Upstream>&);
    /// The list of upstreams was current as of this time.
    void didConfirmUpstreams(framework::SteadyTime);
    void setEngineState(catalog::EngineState);
    /// The rest of the engine's state is as it was set last.
    void setEngineLoad(const catalog::EngineLoad&);
    /// This router doesn't subscribe to the engine any more.
    void forgetEngine(const framework::Endpoint&);
    /// The engine's agent can't be reached.
    void didLoseAgent(const framework::Endpoint&);
    /// This process ends: from now on each request has its final answer by then, also those that come later, and what
    /// no server has by `startBy` is refused.
    void beginShutdown(const framework::ShutdownDeadlines&);
    /// Gives each request that has no final answer yet the one that it would get at the end.
    void answerNow();
    /// Requests without a final answer.
    std::size_t requests() const;
    /// A line for each of them: where it is, and for how long. For the end of the process.
    void logUnanswered() const;

private:
    class Implementation;
    std::shared_ptr<Implementation> implementation_;
};

} // namespace lagoon::forwarding
