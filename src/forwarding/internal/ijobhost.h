#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/targetdemand.h"
#include "forwarding/forwardersettings.h"
#include "forwarding/internal/upstreamtable.h"
#include "forwarding/irequestdialect.h"
#include "framework/eventthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"

#include <memory>
#include <optional>

namespace lagoon::forwarding {

class RequestJob;
struct JobTerms;

/// What a request needs of the forwarder that keeps it. Traffic thread only.
class IJobHost {
public:
    virtual ~IJobHost() = default;
    virtual UpstreamTable& upstreams() = 0;
    virtual const IRequestDialect& dialect() const = 0;
    virtual const ForwarderSettings& settings() const = 0;
    virtual framework::EventThread& thread() = 0;
    virtual framework::Metrics& metrics() = 0;
    virtual framework::SteadyTime now() const = 0;

    /// Spends one of the service's repeats; false: none is left.
    [[nodiscard]] virtual bool spendRepeat(const framework::ServiceName&) = 0;
    /// A request found this shortest time to its first event, among the engines that hold its model.
    virtual void didFindQueue(const JobTerms&, framework::Milliseconds expected) = 0;
    /// Whether a request that finds it is to be refused rather than queued.
    virtual bool isOverloaded(const JobTerms&, framework::Milliseconds expected) const = 0;
    /// A model's request was served within this time from its last sending.
    virtual void didRun(framework::Milliseconds took) = 0;
    /// What runs or waits for models has changed.
    virtual void demandChanged() = 0;
    /// The request has its final answer.
    virtual void didEnd(const std::shared_ptr<RequestJob>&) = 0;
};

} // namespace lagoon::forwarding
