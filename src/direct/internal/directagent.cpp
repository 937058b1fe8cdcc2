#include "direct/directagent.h"

#include "direct/internal/links.h"
#include "direct/internal/routerlinks.h"
#include "direct/internal/statushandlers.h"
#include "engines/enginecontroller.h"
#include "framework/awaitedport.h"
#include "framework/decisionlog.h"
#include "framework/descriptors.h"
#include "framework/periodictask.h"
#include "http/exchangeserver.h"

namespace lagoon::direct {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;

constexpr Milliseconds housekeepingInterval { 1000 };
constexpr Milliseconds opsRetryInterval { 200 };
/// The port for operators may take one part.
constexpr std::size_t partsOfDescriptors = 16;

} // namespace

class DirectAgent::Implementation {
public:
    Implementation(const DirectAgentPorts& ports, const DirectAgentSettings& settings)
        : ports_(ports)
        , settings_(settings)
        , transport_(makeLinkTransport(ports.metrics))
        , controller_(controllerContext(),
              engines::EngineControllerSettings { settings.identity.vm, settings.service, settings.engine })
        , links_(linksContext())
        , metricsHandler_(ports.metrics)
        , ops_(ports.traffic, metricsHandler_)
        , linkPort_(
              "link", settings.link, [this](const Endpoint& at) { return transport_->listen(at, links_.handlers()); })
        , opsPort_("ops", settings.ops, [this](const Endpoint& at) { return ops_.listen(at); })
        , housekeeping_(ports.control, ports.clock, housekeepingInterval, [this] { links_.closeIdle(); })
    {
    }

    framework::Result<DirectAgentEndpoints> start()
    {
        ops_.setMaxConnections(framework::maxDescriptors() / partsOfDescriptors);
        ops_.setLimits(http::limitsWithoutBodies());
        // A former agent that still holds the port keeps control of the engine meanwhile.
        BOOST_OUTCOME_TRY(link, linkPort_.bind());
        (void)opsPort_.bind();
        const DirectAgentEndpoints endpoints { link, opsPort_.endpoint() };
        ports_.traffic.post([this] { bindOps(); });
        ports_.control.post([this] {
            controller_.start();
            housekeeping_.start();
        });
        logDecision(LogLine("started")
                        .text("vm", settings_.identity.vm.value())
                        .text("link", link.value())
                        .text("ops", endpoints.ops.value())
                        .text("engine", settings_.engine.value())
                        .text("service", settings_.service.value()));
        return endpoints;
    }

private:
    /// Retries until the port is bound. Runs on the traffic thread; nothing else waits for this port.
    void bindOps()
    {
        if (!opsPort_.bind())
            opsRetry_
                = ports_.traffic.runAt(Deadline::after(ports_.clock.now(), opsRetryInterval), [this] { bindOps(); });
    }

    engines::EngineController::Context controllerContext()
    {
        return { ports_.control, ports_.clock, ports_.engine, ports_.fencingTokens, ports_.profiles, ports_.metrics,
            [this](const catalog::EngineState& state) { links_.publish(state); },
            [this](const catalog::EngineLoad& load) { links_.publishLoad(load); },
            [this](const ratelimits::LimitStatement& limit) { links_.addLimit(limit); } };
    }

    RouterLinks::Context linksContext()
    {
        return { ports_.control, ports_.clock, *ports_.metrics,
            [this](const framework::VmName& router, const catalog::InstanceId& instance, catalog::DemandList demand) {
                controller_.setDemand(router, instance, std::move(demand));
            },
            [this](const framework::VmName& router) { controller_.forgetRouter(router); } };
    }

    DirectAgentPorts ports_;
    DirectAgentSettings settings_;
    std::shared_ptr<wire::ILinkTransport> transport_;
    engines::EngineController controller_;
    RouterLinks links_;
    MetricsHandler metricsHandler_;
    http::ExchangeServer ops_;
    framework::AwaitedPort linkPort_;
    framework::AwaitedPort opsPort_;
    std::unique_ptr<framework::Timer> opsRetry_;
    framework::PeriodicTask housekeeping_;
};

DirectAgent::DirectAgent(const DirectAgentPorts& ports, const DirectAgentSettings& settings)
    : implementation_(std::make_unique<Implementation>(ports, settings))
{
}

DirectAgent::~DirectAgent() = default;

framework::Result<DirectAgentEndpoints> DirectAgent::start() { return implementation_->start(); }

} // namespace lagoon::direct
