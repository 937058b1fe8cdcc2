#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "forwarding/forwardersettings.h"
#include "forwarding/internal/customerturns.h"
#include "forwarding/internal/limitedservers.h"
#include "forwarding/internal/servernotices.h"
#include "forwarding/internal/upstreamtable.h"
#include "forwarding/irequestdialect.h"
#include "framework/eventthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "http/bytebudget.h"
#include "quarantine/requestquarantine.h"
#include "quotas/icustomerquotas.h"
#include "streams/istreamorigins.h"

#include <memory>
#include <optional>

namespace lagoon::forwarding {

class RequestJob;
struct JobSpec;

/// The services of the forwarder that a request uses. Traffic thread only.
class IJobHost {
public:
    virtual ~IJobHost() = default;
    virtual UpstreamTable& upstreams() = 0;
    virtual quarantine::RequestQuarantine& quarantine() = 0;
    virtual LimitedServers& limits() = 0;
    virtual ServerNotices& notices() = 0;
    virtual const IRequestDialect& dialect() const = 0;
    virtual const ForwarderSettings& settings() const = 0;
    virtual framework::EventThread& thread() = 0;
    virtual framework::Metrics& metrics() = 0;
    virtual framework::SteadyTime now() const = 0;
    virtual streams::IStreamOrigins& origins() = 0;
    virtual quotas::ICustomerQuotas& quotas() = 0;
    virtual CustomerTurns& customerTurns() = 0;
    /// For the answers that are held until they are complete.
    virtual const std::shared_ptr<http::ByteBudget>& budget() const = 0;

    /// Spends one retry of the service's budget; returns false if none is left.
    [[nodiscard]] virtual bool spendRetry(const framework::ServiceName&) = 0;
    /// A request estimated the shortest time to its first event among the engines that have its model loaded.
    virtual void didEstimateFirstEvent(const JobSpec&, framework::Milliseconds expected) = 0;
    /// Whether a request with this estimate is to be refused rather than queued.
    virtual bool isOverloaded(const JobSpec&, framework::Milliseconds expected) = 0;
    /// A request for a model was served within this time after it was last sent.
    virtual void didRun(framework::Milliseconds took) = 0;
    /// The requests in flight or waiting for models have changed.
    virtual void demandChanged() = 0;
    /// Requests that wait can be sent from this time on.
    virtual void dispatchAt(framework::Deadline) = 0;
    /// Counts how a request ended by its customer, if it has one.
    virtual void countOutcome(const JobSpec&, const char* outcome) = 0;
    /// The request has its final answer.
    virtual void didEnd(const std::shared_ptr<RequestJob>&) = 0;
};

} // namespace lagoon::forwarding
