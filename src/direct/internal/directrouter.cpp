#include "direct/directrouter.h"

#include "direct/internal/agentlinks.h"
#include "direct/internal/catalogwatcher.h"
#include "direct/internal/links.h"
#include "direct/internal/statushandlers.h"
#include "direct/internal/trafficorigins.h"
#include "direct/internal/trafficpermits.h"
#include "direct/internal/trafficquotas.h"
#include "forwarding/forwarder.h"
#include "framework/awaitedport.h"
#include "framework/decisionlog.h"
#include "framework/descriptors.h"
#include "framework/loglimiter.h"
#include "framework/threadquery.h"
#include "framework/types/shutdowndeadlines.h"
#include "http/exchangeserver.h"

#include <algorithm>
#include <functional>
#include <thread>

namespace lagoon::direct {

namespace {

using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;

constexpr Milliseconds drainCheckInterval { 30 };
constexpr Milliseconds opsRetryInterval { 200 };
/// Retry delay for a caller whose request this router no longer accepts; other routers accept it at once.
constexpr Milliseconds retryAfterRefusal { 250 };

/// Each of the ports for balancers and operators may take one part.
constexpr std::size_t partsOfDescriptors = 16;
/// Of refusals that callers can cause without a whole request.
constexpr std::size_t linesPerSecond = 20;
/// Connections of its caller and to its server.
constexpr std::size_t descriptorsOfRequest = 2;

forwarding::ForwarderSettings forwarderSettings(const DirectRouterSettings& settings)
{
    return { settings.identity.failureDomain, settings.retryShare, settings.retryReserve, settings.policy,
        settings.quarantine, CatalogWatcher::maxUnconfirmed(settings.leavingNotice),
        { settings.endsRevokedRequests, settings.revocationTime } };
}

/// A held body is in memory up to three times: as it was read, as it is sent on, and in what a buffer that grows leaves
/// unused. The rest of the memory is for everything else.
constexpr std::size_t partsOfMemory = 4;
/// With less, the largest body that callers may send wouldn't fit in the share of one caller.
constexpr std::size_t minBudget = 20 * 1000 * 1000;

std::shared_ptr<http::ByteBudget> makeBudget(catalog::MegaBytes memory)
{
    const std::size_t total = std::max(minBudget, memory.value() * 1000 * 1000 / partsOfMemory);
    const std::size_t requests = total / 2;
    return std::make_shared<http::ByteBudget>(
        http::ByteBudget::Limits { total, requests, requests / 4 * 3, total / 2 });
}

/// About what a connection and its request hold in this process, if the caller neither ends the request nor reads.
constexpr std::size_t connectionBytes = 64 * 1024;
constexpr std::size_t connectionsPartOfMemory = 2;

std::size_t maxConnections(catalog::MegaBytes memory)
{
    return std::min(framework::maxDescriptors() / descriptorsOfRequest,
        memory.value() * 1000 * 1000 / connectionsPartOfMemory / connectionBytes);
}

http::ExchangeLimits exchangeLimits(const catalog::CallerLimits& limits, const CallerProgress& progress)
{
    return { limits.headerBytes, limits.bodyBytes, limits.headerTimeout, limits.idleTimeout, progress.bodyTime,
        progress.bodyBytes, progress.answerTime, progress.answerBytes };
}

} // namespace

class DirectRouter::Implementation {
public:
    Implementation(const DirectRouterPorts& ports, const DirectRouterSettings& settings)
        : ports_(ports)
        , settings_(settings)
        , budget_(makeBudget(settings.memory))
        , transport_(makeLinkTransport(ports.metrics))
        , origins_(ports.control, ports.traffic, [this]() -> streams::IStreamOrigins& { return links_.origins(); })
        , permits_(ports.control, ports.traffic, [this]() -> ratelimits::IServerPermits& { return links_.permits(); })
        , quotas_(ports.control, ports.traffic, [this]() -> quotas::QuotaExchange& { return links_.quotas(); })
        , forwarder_(forwarderContext(), forwarderSettings(settings))
        , links_(linksContext())
        , catalog_(catalogContext())
        , opsHandler_(ports.metrics, forwarder_, ports.clock)
        , callers_(ports.traffic, forwarder_)
        , readiness_(ports.traffic, readinessHandler_)
        , ops_(ports.traffic, opsHandler_)
        , callersPort_("callers", settings.callers, [this](const Endpoint& at) { return callers_.listen(at); })
        , readinessPort_("readiness", settings.readiness, [this](const Endpoint& at) { return readiness_.listen(at); })
        , opsPort_("ops", settings.ops, [this](const Endpoint& at) { return ops_.listen(at); })
    {
    }

    framework::Result<DirectRouterEndpoints> start()
    {
        for (http::ExchangeServer* const server : { &readiness_, &ops_ }) {
            server->setMaxConnections(framework::maxDescriptors() / partsOfDescriptors);
            server->setLimits(http::limitsWithoutBodies());
        }
        for (http::ExchangeServer* const server : { &callers_, &readiness_, &ops_ }) {
            server->setBudget(budget_, ports_.dialect.refusal(503, retryAfterRefusal));
            server->setRefusalHandler([this](const http::UnreadRefusal& refusal) { didRefuseUnread(refusal); });
        }
        callers_.setDropHandler([this](const http::DroppedAnswers& answers) { didDropAnswers(answers); });
        callers_.reclaimUnreadAnswers(*budget_);
        // While the callers' port is held, balancers already read that this router isn't ready. Callers come last,
        // since nobody would drain their requests if the process were asked to terminate before it has started.
        BOOST_OUTCOME_TRY(readiness, readinessPort_.bind());
        callers_.setMaxConnections(maxConnections(settings_.memory));
        BOOST_OUTCOME_TRY(callers, callersPort_.bind());
        (void)opsPort_.bind();
        const DirectRouterEndpoints endpoints { callers, readiness, opsPort_.endpoint() };
        ports_.traffic.post([this] { bindOps(); });
        ports_.traffic.post([this] { forwarder_.start(); });
        ports_.control.post([this] {
            links_.quotas().setTolerance(settings_.quotaTolerance);
            catalog_.start();
        });
        logDecision(LogLine("started")
                        .text("vm", settings_.identity.vm.value())
                        .text("callers", callers.value())
                        .text("readiness", endpoints.readiness.value())
                        .text("ops", endpoints.ops.value()));
        return endpoints;
    }

    void reload(const DirectRouterSettings& settings)
    {
        settings_.grace = settings.grace;
        ports_.traffic.post([this, changed = forwarderSettings(settings)] { forwarder_.setSettings(changed); });
        ports_.control.post([this, tolerance = settings.quotaTolerance] { links_.quotas().setTolerance(tolerance); });
        logDecision(LogLine("reloaded")
                        .number("repeat_share", settings.retryShare)
                        .number("repeat_reserve", settings.retryReserve)
                        .number("grace_ms", settings.grace.count()));
    }

    void drain()
    {
        const auto deadlines = framework::ShutdownDeadlines::after(ports_.clock.now(), settings_.grace);
        const std::size_t requests = queryTrafficThread([this, deadlines] { return startShutdown(deadlines); });
        clearReadiness();
        logDecision(LogLine("draining").number("requests", requests).number("grace_ms", settings_.grace.count()));
        std::this_thread::sleep_until(deadlines.noticedBy.at());
        ports_.traffic.post([this] {
            callers_.stopAccepting();
            refuseIncomplete();
        });
        // Callers learn from the answer to their next request that their connection ends. One that is closed while it
        // is idle may already carry a request that nobody answers.
        while (!deadlines.answerBy.hasPassed(ports_.clock.now())
            && queryTrafficThread([this] { return callers_.connections(); }) > 0)
            std::this_thread::sleep_for(drainCheckInterval);
        ports_.traffic.post([this] {
            callers_.closeIdle();
            refuseIncomplete();
        });
        while (!deadlines.exitBy.hasPassed(ports_.clock.now())
            && queryTrafficThread([this] { return callers_.busyConnections(); }) > 0)
            std::this_thread::sleep_for(drainCheckInterval);
        const std::size_t unanswered = queryTrafficThread([this] { return stopAccepting(); });
        logDecision(LogLine("stopped").number("unanswered", unanswered));
    }

private:
    void didRefuseUnread(const http::UnreadRefusal& refusal)
    {
        ports_.metrics->count("lagoon_requests_refused_unread_total", { { "status", std::to_string(refusal.status) } });
        const auto omitted = refusalLines_.admit(ports_.clock.now());
        if (!omitted)
            return;
        logDecision(LogLine("request_refused_unread")
                        .text("caller", refusal.caller.value())
                        .number("status", refusal.status)
                        .text("cause", refusal.cause)
                        .number("omitted", *omitted));
    }

    void didDropAnswers(const http::DroppedAnswers& answers)
    {
        ports_.metrics->count("lagoon_unread_answers_dropped_total", {});
        const auto omitted = dropLines_.admit(ports_.clock.now());
        if (!omitted)
            return;
        logDecision(LogLine("answer_dropped")
                        .text("caller", answers.caller.value())
                        .number("bytes", answers.bytes)
                        .text("cause", answers.cause)
                        .number("omitted", *omitted));
    }

    /// Retries until the port is bound. Runs on the traffic thread; nothing else waits for this port.
    void bindOps()
    {
        if (!opsPort_.bind())
            opsRetry_ = ports_.traffic.runAt(
                framework::Deadline::after(ports_.clock.now(), opsRetryInterval), [this] { bindOps(); });
    }

    /// Returns 0 if the query fails, so that the shutdown goes on.
    std::size_t queryTrafficThread(const std::function<std::size_t()>& query)
    {
        return framework::askThread(ports_.traffic, query).value_or(0);
    }

    /// Starts the shutdown and returns the number of requests in progress. Runs on the traffic thread, before the
    /// router reports that it isn't ready: from then on each answer announces that its connection closes, and each
    /// request has a deadline.
    std::size_t startShutdown(const framework::ShutdownDeadlines& deadlines)
    {
        const std::size_t requests = forwarder_.requests();
        callers_.beginDraining();
        forwarder_.beginShutdown(deadlines);
        return requests;
    }

    /// Clears the readiness a second time on the control thread, since that thread may just be about to set it.
    void clearReadiness()
    {
        isDraining_ = true;
        readinessHandler_.setReady(false);
        ports_.control.post([this] { readinessHandler_.setReady(false); });
    }

    /// Refuses requests that have been received only in part when no more are accepted. Such a request certainly hasn't
    /// run, and other routers have time for it, whereas here the end of the process could cut its answer.
    void refuseIncomplete() { callers_.refuseIncomplete(ports_.dialect.refusal(503, retryAfterRefusal)); }

    /// Answers or refuses all remaining requests and returns how many have no answer. Runs on the traffic thread as the
    /// last step. Prevents a request that is read after the last check of the connections from being sent to a server
    /// and never answered. Also covers requests whose timers haven't run because the VM was suspended or busy.
    std::size_t stopAccepting()
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
            [this](const forwarding::LoadPlan& plan) { ports_.control.post([this, plan] { links_.apply(plan); }); },
            [this](const quarantine::EvidenceUpdate& update) {
                ports_.control.post([this, update] { links_.share(update); });
            },
            origins_, permits_, quotas_,
            [this](const fairness::UseReport& report) {
                ports_.control.post([this, report] { links_.reportUse(report); });
            },
            budget_ };
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
            [this](const quarantine::EvidenceUpdate& update) {
                ports_.traffic.post([this, update] { forwarder_.addEvidence(update); });
            },
            [this](const std::vector<ratelimits::LimitStatement>& limits) {
                ports_.traffic.post([this, limits] { forwarder_.addLimits(limits); });
            },
            [this](const fairness::SummedUse& use) {
                ports_.traffic.post([this, use] { forwarder_.setCustomerUse(use); });
            },
            [this](const framework::Endpoint& engine) {
                ports_.traffic.post([this, engine] { forwarder_.didLoseAgent(engine); });
            },
            [this](const framework::Endpoint& engine) {
                ports_.traffic.post([this, engine] { forwarder_.forgetEngine(engine); });
            },
            ports_.metrics };
    }

    CatalogWatcher::Context catalogContext()
    {
        return { ports_.control, ports_.clock, ports_.configurations, ports_.servers, ports_.decoder,
            settings_.leavingNotice, settings_.outageNotice, settings_.heartbeat,
            [this](const catalog::ConfigurationPointer& configuration) { didConfigure(configuration); },
            [this](framework::SteadyTime at) {
                ports_.traffic.post([this, at] { forwarder_.didConfirmConfiguration(at); });
            },
            [this](const std::vector<catalog::Upstream>& servers) { didListServers(servers); },
            [this](framework::SteadyTime at) {
                ports_.traffic.post([this, at] { forwarder_.didConfirmUpstreams(at); });
            } };
    }

    void didConfigure(const catalog::ConfigurationPointer& configuration)
    {
        configuration_ = configuration;
        ports_.traffic.post([this, configuration] {
            callers_.setLimits(exchangeLimits(configuration->limits, settings_.callerProgress));
            forwarder_.setConfiguration(configuration);
        });
        ports_.metrics->setGauge("lagoon_configuration_version", static_cast<double>(configuration->version.value()));
        updateAgentLinks();
        updateReadiness();
    }

    void didListServers(const std::vector<catalog::Upstream>& servers)
    {
        servers_ = servers;
        ports_.traffic.post([this, servers] { forwarder_.setUpstreams(servers); });
        updateAgentLinks();
        updateReadiness();
    }

    /// Passes on the servers that have agents: those of services with engines.
    void updateAgentLinks()
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

    void updateReadiness()
    {
        if (isDraining_ || readinessHandler_.isReady() || !catalog_.isComplete())
            return;
        readinessHandler_.setReady(true);
        logDecision(LogLine("ready")
                        .number("configuration", configuration_->version.value())
                        .number("servers", servers_.size()));
    }

    DirectRouterPorts ports_;
    DirectRouterSettings settings_;
    std::shared_ptr<http::ByteBudget> budget_;
    framework::LogLimiter refusalLines_ { linesPerSecond };
    framework::LogLimiter dropLines_ { linesPerSecond };
    std::shared_ptr<wire::ILinkTransport> transport_;
    std::atomic<bool> isDraining_ { false };
    TrafficOrigins origins_;
    TrafficPermits permits_;
    TrafficQuotas quotas_;
    forwarding::Forwarder forwarder_;
    // `configuration_`, `servers_`, `links_` and `catalog_` are used on the control thread only.
    catalog::ConfigurationPointer configuration_;
    std::vector<catalog::Upstream> servers_;
    AgentLinks links_;
    CatalogWatcher catalog_;
    ReadinessHandler readinessHandler_;
    RouterOpsHandler opsHandler_;
    http::ExchangeServer callers_;
    http::ExchangeServer readiness_;
    http::ExchangeServer ops_;
    framework::AwaitedPort callersPort_;
    framework::AwaitedPort readinessPort_;
    framework::AwaitedPort opsPort_;
    std::unique_ptr<framework::Timer> opsRetry_;
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
