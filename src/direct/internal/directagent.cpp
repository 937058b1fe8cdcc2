#include "direct/directagent.h"

#include "direct/internal/links.h"
#include "direct/internal/routerlinks.h"
#include "direct/internal/statushandlers.h"
#include "engines/enginecontroller.h"
#include "framework/decisionlog.h"
#include "http/exchangeserver.h"

namespace lagoon::direct {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;

constexpr Milliseconds housekeepingInterval { 1000 };

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
    {
    }

    framework::Result<DirectAgentEndpoints> start()
    {
        DirectAgentEndpoints endpoints;
        BOOST_OUTCOME_TRY(link, transport_->listen(settings_.link, links_.handlers()));
        endpoints.link = link;
        BOOST_OUTCOME_TRY(ops, ops_.listen(settings_.ops));
        endpoints.ops = ops;
        ports_.control.post([this] {
            controller_.start();
            runHousekeeping();
        });
        logDecision(LogLine("started")
                        .text("vm", settings_.identity.vm.value())
                        .text("link", link.value())
                        .text("ops", ops.value())
                        .text("engine", settings_.engine.value())
                        .text("service", settings_.service.value()));
        return endpoints;
    }

private:
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

    void runHousekeeping()
    {
        links_.closeIdle();
        housekeeping_ = ports_.control.runAt(
            Deadline::after(ports_.clock.now(), housekeepingInterval), [this] { runHousekeeping(); });
    }

    DirectAgentPorts ports_;
    DirectAgentSettings settings_;
    std::shared_ptr<wire::ILinkTransport> transport_;
    engines::EngineController controller_;
    RouterLinks links_;
    MetricsHandler metricsHandler_;
    http::ExchangeServer ops_;
    std::unique_ptr<framework::Timer> housekeeping_;
};

DirectAgent::DirectAgent(const DirectAgentPorts& ports, const DirectAgentSettings& settings)
    : implementation_(std::make_unique<Implementation>(ports, settings))
{
}

DirectAgent::~DirectAgent() = default;

framework::Result<DirectAgentEndpoints> DirectAgent::start() { return implementation_->start(); }

} // namespace lagoon::direct
