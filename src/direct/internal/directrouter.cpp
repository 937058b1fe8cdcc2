#include "direct/directrouter.h"

#include "direct/internal/agentlinks.h"
#include "direct/internal/catalogwatch.h"
#include "direct/internal/links.h"
#include "direct/internal/plainviews.h"
#include "forwarding/forwarder.h"
#include "framework/decisionlog.h"
#include "framework/types/serviceend.h"
#include "http/exchangeserver.h"

#include <future>
#include <thread>

namespace lagoon::direct {

namespace {

using framework::LogLine;
using framework::Milliseconds;

constexpr Milliseconds drainCheckEach { 30 };
/// For a caller whose request this router no longer takes: other routers do at once.
constexpr Milliseconds comeBackElsewhere { 250 };

forwarding::ForwarderSettings forwarderSettings(const DirectRouterSettings& settings)
{
    return { settings.identity.failureDomain, settings.repeatShare, settings.repeatReserve, settings.policy };
}

http::ExchangeLimits exchangeLimits(const catalog::CallerLimits& limits)
{
    return { limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout };
}

} // namespace

class DirectRouter::Implementation {
public:
    Implementation(const DirectRouterPorts& ports, const DirectRouterSettings& settings)
        : ports_(ports)
        , settings_(settings)
        , transport_(makeLinks(ports.metrics))
        , forwarder_(forwarderContext(), forwarderSettings(settings))
        , links_(linksContext())
        , catalog_(catalogContext())
        , metricsView_(ports.metrics)
        , callers_(ports.traffic, forwarder_)
        , readiness_(ports.traffic, readinessView_)
        , ops_(ports.traffic, metricsView_)
    {
    }

    framework::Result<DirectRouterEndpoints> start()
    {
        DirectRouterEndpoints endpoints;
        BOOST_OUTCOME_TRY(callers, callers_.listen(settings_.callers));
        endpoints.callers = callers;
        BOOST_OUTCOME_TRY(readiness, readiness_.listen(settings_.readiness));
        endpoints.readiness = readiness;
        BOOST_OUTCOME_TRY(ops, ops_.listen(settings_.ops));
        endpoints.ops = ops;
        ports_.traffic.post([this] { forwarder_.start(); });
        ports_.control.post([this] { catalog_.start(); });
        logDecision(LogLine("started")
                        .text("vm", settings_.identity.vm.value())
                        .text("callers", callers.value())
                        .text("readiness", readiness.value())
                        .text("ops", ops.value()));
        return endpoints;
    }

    void reload(const DirectRouterSettings& settings)
    {
        settings_.grace = settings.grace;
        ports_.traffic.post([this, changed = forwarderSettings(settings)] { forwarder_.setSettings(changed); });
        logDecision(LogLine("reloaded")
                        .number("repeat_share", settings.repeatShare)
                        .number("repeat_reserve", settings.repeatReserve)
                        .number("grace_ms", settings.grace.count()));
    }

    void drain()
    {
        const auto end = framework::ServiceEnd::after(ports_.clock.now(), settings_.grace);
        const std::size_t requests = onTraffic([this, end] { return beginEnd(end); });
        stopBeingReady();
        logDecision(LogLine("draining").number("requests", requests).number("grace_ms", settings_.grace.count()));
        std::this_thread::sleep_until(end.noticedBy.at());
        ports_.traffic.post([this] {
            callers_.closeIdle();
            refuseIncomplete();
        });
        while (
            !end.exitBy.hasPassed(ports_.clock.now()) && onTraffic([this] { return callers_.busyConnections(); }) > 0)
            std::this_thread::sleep_for(drainCheckEach);
        const std::size_t unanswered = onTraffic([this] { return stopTaking(); });
        logDecision(LogLine("stopped").number("unanswered", unanswered));
    }

private:
    std::size_t onTraffic(const std::function<std::size_t()>& query)
    {
        std::promise<std::size_t> answer;
        ports_.traffic.post([&] { answer.set_value(query()); });
        return answer.get_future().get();
    }

    /// On the traffic thread, before anyone can see that this router isn't ready any more: from then on each answer
    /// says that its connection ends, and each request has an end. Returns how many requests there are.
    std::size_t beginEnd(const framework::ServiceEnd& end)
    {
        const std::size_t requests = forwarder_.requests();
        callers_.beginDraining();
        forwarder_.endService(end);
        return requests;
    }

    /// Twice, since the control thread may be about to say that it is ready.
    void stopBeingReady()
    {
        isDraining_ = true;
        readinessView_.setReady(false);
        ports_.control.post([this] { readinessView_.setReady(false); });
    }

    /// Guards against a request of which a part has come when no more are taken. It surely hasn't run, and other
    /// routers have time for it; here its answer could be cut by the end.
    void refuseIncomplete() { callers_.refuseIncomplete(ports_.dialect.refusal(503, comeBackElsewhere)); }

    /// On the traffic thread, last thing; returns how many requests have no answer. Guards against a request that is
    /// read between the last look at the connections and the process's end, which would be sent to a server and never
    /// answered; and against those whose timers haven't run, since the VM stood still or was busy until the end.
    std::size_t stopTaking()
    {
        forwarder_.answerNow();
        refuseIncomplete();
        forwarder_.logUnanswered();
        const std::size_t unanswered = forwarder_.requests();
        callers_.closeAll();
        return unanswered;
    }

    forwarding::Forwarder::Context forwarderContext()
    {
        return { ports_.traffic, ports_.clock, ports_.dialect, ports_.metrics,
            [this](const forwarding::LoadPlan& plan) { ports_.control.post([this, plan] { links_.apply(plan); }); } };
    }

    AgentLinks::Context linksContext()
    {
        return { ports_.control, ports_.clock, *transport_, settings_.identity.vm, settings_.agentPort,
            [this](const catalog::EngineState& state) {
                ports_.traffic.post([this, state] { forwarder_.setEngineState(state); });
            },
            [this](const catalog::EngineLoad& load) {
                ports_.traffic.post([this, load] { forwarder_.setEngineLoad(load); });
            },
            [this](const framework::Endpoint& engine) {
                ports_.traffic.post([this, engine] { forwarder_.didLoseAgent(engine); });
            },
            [this](const framework::Endpoint& engine) {
                ports_.traffic.post([this, engine] { forwarder_.forgetEngine(engine); });
            } };
    }

    CatalogWatch::Context catalogContext()
    {
        return { ports_.control, ports_.clock, ports_.configurations, ports_.servers, ports_.decoder,
            settings_.leavingNotice, settings_.outageNotice,
            [this](const catalog::ConfigurationPointer& configuration) { didConfigure(configuration); },
            [this](const std::vector<catalog::Upstream>& servers) { didListServers(servers); },
            [this](framework::SteadyTime at) {
                ports_.traffic.post([this, at] { forwarder_.didConfirmUpstreams(at); });
            } };
    }

    void didConfigure(const catalog::ConfigurationPointer& configuration)
    {
        configuration_ = configuration;
        ports_.traffic.post([this, configuration] {
            callers_.setLimits(exchangeLimits(configuration->limits));
            forwarder_.setConfiguration(configuration);
        });
        ports_.metrics->setGauge("lagoon_configuration_version", static_cast<double>(configuration->version.value()));
        linkEngines();
        becomeReady();
    }

    void didListServers(const std::vector<catalog::Upstream>& servers)
    {
        servers_ = servers;
        ports_.traffic.post([this, servers] { forwarder_.setUpstreams(servers); });
        linkEngines();
        becomeReady();
    }

    /// Agents are beside the servers of the services that have engines.
    void linkEngines()
    {
        if (!configuration_)
            return;
        std::vector<catalog::Upstream> engines;
        for (const catalog::Upstream& server : servers_) {
            const catalog::Service* const service = configuration_->find(server.service);
            if (service && service->engine)
                engines.push_back(server);
        }
        links_.setEngines(engines);
    }

    void becomeReady()
    {
        if (isDraining_ || readinessView_.isReady() || !catalog_.isComplete())
            return;
        readinessView_.setReady(true);
        logDecision(LogLine("ready")
                        .number("configuration", configuration_->version.value())
                        .number("servers", servers_.size()));
    }

    DirectRouterPorts ports_;
    DirectRouterSettings settings_;
    std::shared_ptr<wire::ILinkTransport> transport_;
    std::atomic<bool> isDraining_ { false };
    forwarding::Forwarder forwarder_;
    // Control thread.
    catalog::ConfigurationPointer configuration_;
    std::vector<catalog::Upstream> servers_;
    AgentLinks links_;
    CatalogWatch catalog_;
    ReadinessView readinessView_;
    MetricsView metricsView_;
    http::ExchangeServer callers_;
    http::ExchangeServer readiness_;
    http::ExchangeServer ops_;
};

DirectRouter::DirectRouter(const DirectRouterPorts& ports, const DirectRouterSettings& settings)
    : implementation_(std::make_unique<Implementation>(ports, settings))
{
}

DirectRouter::~DirectRouter() = default;

framework::Result<DirectRouterEndpoints> DirectRouter::start() { return implementation_->start(); }

void DirectRouter::reload(const DirectRouterSettings& settings) { implementation_->reload(settings); }

void DirectRouter::drain() { implementation_->drain(); }

} // namespace lagoon::direct
