#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "catalog/types/wanted.h"
#include "forwarding/forwardersettings.h"
#include "forwarding/irequestdialect.h"
#include "framework/eventthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
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
        /// Tells the engines' agents what is wanted of them; called on the traffic thread.
        std::function<void(const std::map<framework::Endpoint, catalog::WantedList>&)> tellAgents;
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
    void setEngineState(catalog::EngineState);
    void forgetEngine(const framework::Endpoint&);
    /// From now on each request has its final answer by then, also those that come later: this process ends.
    void answerBy(framework::Deadline);
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
