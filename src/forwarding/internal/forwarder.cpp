#include "forwarding/forwarder.h"

#include "catalog/ranking.h"
#include "catalog/routetable.h"
#include "forwarding/internal/calleridentity.h"
#include "forwarding/internal/demandpublisher.h"
#include "forwarding/internal/drawtarget.h"
#include "forwarding/internal/jobindex.h"
#include "forwarding/internal/requestjob.h"
#include "framework/boundedlabels.h"
#include "framework/decisionlog.h"
#include "framework/loglimiter.h"
#include "policy/retrybudget.h"
#include "policy/standingqueue.h"
#include "quarantine/fingerprinting.h"

#include <algorithm>
#include <utility>

namespace lagoon::forwarding {

namespace {

using catalog::ConfigurationPointer;
using framework::Deadline;
using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;
using framework::ServiceName;

/// Changed demand is published to the agents within this time; changes in the meantime go into the same plan.
constexpr Milliseconds urgentPlanDelay { 15 };
/// The delay of the plan after changes that no request waits for.
constexpr Milliseconds backgroundPlanDelay { 100 };
/// The interval of plans without a change, because the averages of demand change over time.
constexpr Milliseconds planInterval { 500 };
/// Retry-After while this process has no configuration yet: it reads one within about a second of its start.
constexpr Milliseconds retryAfterUnconfigured { 500 };
/// Clients can cause any number of such refusals.
constexpr std::size_t notRoutedLinesPerSecond = 20;
/// The shortest time in which a request for a model is answered once the model is loaded.
constexpr Milliseconds minAnswerTime { 60 };
/// How long a request waits for a connection to an agent before it is refused: connecting takes a few network delays.
constexpr Milliseconds agentConnectTimeout { 600 };
/// The fraction of the operators' retry reserve that all routers together plan with. A router that has just started has
/// a full share again and may not know yet how many routers there are.
constexpr double plannedReserveShare = 0.6;

/// The last part of a prompt belongs to the request itself or to its session.
quarantine::RequestIdentity identityOf(const http::Request& request, const RequestFacts& facts)
{
    quarantine::RequestIdentity identity(
        quarantine::fingerprintOf({ request.method, request.target, facts.caller, request.body }));
    for (std::size_t index = 0; index + 1 < facts.prompt.size(); ++index) {
        const auto part = quarantine::partFingerprintOf(facts.prompt[index].id);
        if (identity.parts.size() < quarantine::maxJudgedParts && !identity.has(part))
            identity.parts.push_back(part);
    }
    return identity;
}

} // namespace

class Forwarder::Implementation final : public IJobHost, public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Context context, const ForwarderSettings& settings)
        : context_(std::move(context))
        , settings_(settings)
        , identity_(settings.maxUnconfirmed)
        , upstreams_(context_.traffic.context())
        , limits_(*context_.metrics, context_.permits)
        , notices_(*context_.metrics, upstreams_)
        , quarantine_(std::make_shared<quarantine::RequestQuarantine>(quarantineContext(), settings.quarantine))
        , customerTurns_(*context_.metrics, context_.reportUse)
        , demandPublisher_(upstreams_, context_.publish, context_.clock.now())
    {
        upstreams_.setPolicy(settings.policy);
        upstreams_.setRunEndHandler([this](const catalog::UpstreamRun& run, quarantine::EndSign sign) {
            quarantine_->didEndRun(serverRunId(run), sign);
        });
    }

    /// Requests that still run report nothing any more.
    ~Implementation() override { quarantine_.reset(); }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    void start() { schedulePlan(planInterval); }

    void handle(const std::shared_ptr<http::IExchange>& exchange)
    {
        if (!routes_)
            return refuse(*exchange, 503, "no configuration yet", retryAfterUnconfigured);
        const std::string_view host = exchange->request().headers.find("Host").value_or("");
        const catalog::Route* const route = routes_->find(host, exchange->request().target);
        if (!route)
            return refuse(*exchange, 404, "no route", std::nullopt);
        const CallerFinding finding = identity_.identify(*route, exchange->request(), context_.dialect, now());
        if (const auto* const refusal = std::get_if<CallerRefusal>(&finding))
            return refuse(*exchange, refusal->status, refusal->cause, refusal->retryAfter);
        auto facts = context_.dialect.read(exchange->request());
        if (facts.has_error())
            return refuse(*exchange, 400, facts.error().detail, std::nullopt);
        begin(exchange, *route, std::get<Caller>(finding), std::move(facts.value()));
    }

    void setSettings(const ForwarderSettings& settings)
    {
        settings_ = settings;
        identity_.setMaxUnconfirmed(settings.maxUnconfirmed);
        upstreams_.setPolicy(settings.policy);
        quarantine_->setSettings(settings.quarantine);
        for (auto& [service, budget] : budgets_)
            budget.setShare(settings.retryShare);
    }

    void setConfiguration(ConfigurationPointer configuration)
    {
        routes_ = std::make_unique<catalog::RouteTable>(configuration);
        ranking_ = std::make_unique<catalog::Ranking>(*configuration);
        identity_.setConfiguration(configuration);
        customerTurns_.setConfiguration(configuration);
        demandPublisher_.setConfiguration(configuration);
        endRevoked(*configuration);
        upstreams_.setConfiguration(std::move(configuration));
        dispatchWaiting();
    }

    void didConfirmConfiguration(framework::SteadyTime at) { identity_.didConfirm(at); }

    void setUpstreams(const std::vector<catalog::Upstream>& list)
    {
        quarantine_->setServers(list.size());
        quarantine_->setRouters(upstreams_.routers());
        upstreams_.setUpstreams(list);
        dispatchWaiting();
        schedulePlan(urgentPlanDelay);
    }

    void didConfirmUpstreams(framework::SteadyTime at) { upstreams_.didConfirmList(at); }

    void setState(catalog::EngineState state)
    {
        std::vector<framework::ModelName> models = modelsOf(state);
        upstreams_.setState(std::move(state), now());
        schedulePlan(dispatchWaitingFor(models) ? urgentPlanDelay : backgroundPlanDelay);
    }

    void setLoad(const catalog::EngineLoad& load)
    {
        upstreams_.setLoad(load, now());
        schedulePlan(backgroundPlanDelay);
    }

    void addEvidence(const quarantine::EvidenceUpdate& update) { quarantine_->merge(update); }

    void addLimits(const std::vector<ratelimits::LimitStatement>& limits)
    {
        limits_.didHear(limits, now());
        postDispatch();
    }

    void setCustomerUse(const fairness::SummedUse& use) { customerTurns_.setUse(use, now()); }

    void forgetState(const Endpoint& engine) { upstreams_.forgetState(engine); }

    void didLoseAgent(const Endpoint& engine)
    {
        upstreams_.didLoseAgent(engine, now());
        schedulePlan(urgentPlanDelay);
    }

    void beginShutdown(const framework::ShutdownDeadlines& deadlines)
    {
        shutdownDeadlines_ = deadlines;
        forEachJob([&](RequestJob& job) { job.beginShutdown(deadlines); });
        dispatchWaiting();
        // Requests that still wait at that time are too late to start.
        startByTimer_ = context_.traffic.runAt(deadlines.startBy, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->dispatchWaiting();
        });
    }

    void answerNow()
    {
        forEachJob([](RequestJob& job) { job.answerNow(); });
    }

    std::size_t requests() const { return jobs_.size(); }

    void logUnanswered() const
    {
        for (const auto& job : jobs_.all())
            job->logUnanswered();
    }

    UpstreamTable& upstreams() override { return upstreams_; }
    quarantine::RequestQuarantine& quarantine() override { return *quarantine_; }
    LimitedServers& limits() override { return limits_; }
    ServerNotices& notices() override { return notices_; }
    const IRequestDialect& dialect() const override { return context_.dialect; }
    const ForwarderSettings& settings() const override { return settings_; }
    framework::EventThread& thread() override { return context_.traffic; }
    framework::Metrics& metrics() override { return *context_.metrics; }
    framework::SteadyTime now() const override { return context_.clock.now(); }
    streams::IStreamOrigins& origins() override { return context_.origins; }
    quotas::ICustomerQuotas& quotas() override { return context_.quotas; }
    CustomerTurns& customerTurns() override { return customerTurns_; }
    const std::shared_ptr<http::ByteBudget>& budget() const override { return context_.budget; }

    bool spendRetry(const ServiceName& service) override
    {
        return settings_.policy.repeatsRequests && budget(service).spend();
    }

    void didEstimateFirstEvent(const JobSpec& spec, Milliseconds expected) override
    {
        queues_[{ spec.facts.model, spec.priority }].didArrive(expected, spec.route->targetLatency, now());
    }

    bool isOverloaded(const JobSpec& spec, Milliseconds expected) override
    {
        const Milliseconds target = spec.route->targetLatency;
        // Without a target latency no queue counts as too long.
        if (target.count() <= 0 || expected <= target || !settings_.policy.refusesOverload)
            return false;
        const auto queue = queues_.find({ spec.facts.model, spec.priority });
        const bool isStanding = queue != queues_.end() && queue->second.isStanding(target, now());
        return now() + expected > spec.firstEventBy.at() || customerTurns_.isRefused(spec, isStanding, now());
    }

    void didRun(Milliseconds took) override { demandPublisher_.didRun(took); }

    void countOutcome(const JobSpec& spec, const char* outcome) override
    {
        if (!spec.customer)
            return;
        const std::string customer = customerLabels_.label(spec.customer->name.value());
        context_.metrics->count("lagoon_customer_requests_total", { { "customer", customer }, { "outcome", outcome } });
    }

    void demandChanged() override { schedulePlan(backgroundPlanDelay); }

    void dispatchAt(Deadline at) override
    {
        if (dispatchTimer_ && dispatchAt_ <= at)
            return;
        dispatchAt_ = at;
        dispatchTimer_ = context_.traffic.runAt(at, [weak = weak_from_this()] {
            const auto self = weak.lock();
            if (!self)
                return;
            self->dispatchTimer_.reset();
            self->dispatchWaiting();
        });
    }

    void didEnd(const std::shared_ptr<RequestJob>& job) override
    {
        customerTurns_.didEnd(job->spec());
        jobs_.remove(job);
        schedulePlan(backgroundPlanDelay);
        postDispatch();
    }

private:
    quarantine::RequestQuarantine::Context quarantineContext()
    {
        return { context_.clock, *context_.metrics, [this] { postDispatch(); }, [this](Deadline at) { dispatchAt(at); },
            [this](const quarantine::EvidenceUpdate& update) { context_.shareEvidence(update); } };
    }

    /// Posts the dispatch because the request whose end allows others to be sent is still on the stack.
    void postDispatch()
    {
        if (std::exchange(isDispatchPosted_, true))
            return;
        context_.traffic.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->dispatchWaiting();
        });
    }

    void refuse(
        http::IExchange& exchange, unsigned status, const std::string& cause, std::optional<Milliseconds> retryAfter)
    {
        context_.metrics->count("lagoon_not_routed_total", { { "status", std::to_string(status) } });
        if (const auto omitted = notRoutedLines_.admit(now()))
            logDecision(LogLine("not_routed")
                            .text("host", exchange.request().headers.find("Host").value_or(""))
                            .text("target", exchange.request().target)
                            .number("configuration", routes_ ? routes_->configuration()->version.value() : 0)
                            .number("status", status)
                            .text("cause", cause)
                            .number("omitted", *omitted));
        exchange.answer(context_.dialect.refusal(status, retryAfter), {});
    }

    void begin(const std::shared_ptr<http::IExchange>& exchange, const catalog::Route& route, const Caller& caller,
        RequestFacts facts)
    {
        JobSpec spec;
        spec.configuration = routes_->configuration();
        spec.route = &route;
        spec.customer = caller.customer;
        spec.key = caller.key;
        spec.priority = ranking_->rank(route, caller.customer);
        spec.service = drawTarget(route).service;
        const Milliseconds callerTimeout = std::min(route.timeout, facts.timeLeft.value_or(route.timeout));
        spec.deadline = Deadline::after(exchange->receivedAt(), callerTimeout);
        const Milliseconds untilFirst = route.callerIdleTimeout.count() > 0 ? route.callerIdleTimeout : callerTimeout;
        spec.firstEventBy = Deadline::after(exchange->receivedAt(), std::min(callerTimeout, untilFirst));
        demandPublisher_.didArrive(spec.service, facts, now());
        const http::Request& request = exchange->request();
        spec.identity = identityOf(request, facts);
        spec.facts = std::move(facts);
        customerTurns_.assign(spec, now());
        budget(spec.service).earn();
        const auto job = std::make_shared<RequestJob>(*this, exchange, std::move(spec));
        if (shutdownDeadlines_)
            job->beginShutdown(*shutdownDeadlines_);
        jobs_.add(job);
        job->runGuarded([&] { job->start(); });
        if (job->isWaiting())
            schedulePlan(Milliseconds(0));
    }

    void endRevoked(const catalog::Configuration& configuration)
    {
        if (!settings_.revocation.endsRequests)
            return;
        const auto revoked = jobs_.revokedBy(configuration);
        if (revoked.empty())
            return;
        const Deadline endBy = identity_.endOfRevoked(settings_.revocation.within, now());
        logDecision(LogLine("keys_revoked")
                        .number("configuration", configuration.version.value())
                        .number("requests", revoked.size())
                        .number("end_within_ms", endBy.remaining(now()).count()));
        for (const auto& job : revoked)
            job->runGuarded([&] { job->didRevokeKey(endBy); });
    }

    /// Each router spends retries in proportion to its own requests plus its share of the reserve, so that all routers
    /// together keep to the operators' limit without communicating. The number of routers is known only after an agent
    /// has reported; until then each router takes a small share, so that routers that have all just started don't
    /// exceed the limit.
    policy::RetryBudget& budget(const ServiceName& service)
    {
        const double reserve = std::max(1.0, plannedReserveShare * settings_.retryReserve / upstreams_.routers());
        policy::RetryBudget& budget = budgets_.try_emplace(service, settings_.retryShare, reserve).first->second;
        budget.setMax(reserve);
        return budget;
    }

    /// Engines with an agent, by service; collected once for all requests that are checked together.
    using EnginesByService = std::map<ServiceName, std::vector<EngineFacts>>;

    static std::vector<framework::ModelName> modelsOf(const catalog::EngineState& state)
    {
        std::vector<framework::ModelName> models;
        for (const catalog::LoadedModel& held : state.held)
            models.push_back(held.model);
        for (const catalog::EngineState::Expected& expected : state.expected)
            models.push_back(expected.model);
        return models;
    }

    void dispatchWaiting()
    {
        isDispatchPosted_ = false;
        quarantine_->refresh();
        dispatch(jobs_.all());
    }

    /// Dispatches only the waiting requests that the engine's state may affect, so that the cost doesn't grow with the
    /// total number of requests. Returns whether there were any.
    bool dispatchWaitingFor(const std::vector<framework::ModelName>& models)
    {
        return dispatch(jobs_.forModels(models));
    }

    bool dispatch(const JobIndex::Jobs& jobs)
    {
        std::vector<std::shared_ptr<RequestJob>> waiting;
        for (const auto& job : jobs) {
            if (job->isWaiting())
                waiting.push_back(job);
        }
        std::sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) {
            return std::tie(left->spec().priority, left->spec().turn, left->spec().deadline)
                < std::tie(right->spec().priority, right->spec().turn, right->spec().deadline);
        });
        for (const auto& job : waiting)
            job->runGuarded([&] { job->advance(); });
        EnginesByService engines;
        for (const auto& job : waiting) {
            if (job->isWaiting())
                job->runGuarded([&] { refuseIfHopeless(*job, engines); });
        }
        return !waiting.empty();
    }

    /// Refuses a request that waits for a model if the model will be loaded too late even in the best case, or if no
    /// engine can load it.
    void refuseIfHopeless(RequestJob& job, EnginesByService& engines)
    {
        const auto waitingFor = job.waitingFor();
        if (!waitingFor || job.isInTurn() || !settings_.policy.refusesHopeless)
            return;
        const ServiceName& service = job.spec().service;
        const Milliseconds left = job.spec().firstEventBy.remaining(now());
        // The forecast is that of a load at any engine.
        if (!waitingFor->at.value().empty())
            return;
        auto known = engines.find(service);
        if (known == engines.end())
            known = engines.emplace(service, upstreams_.engines(service, now())).first;
        const auto timeUntilLoaded = demandPublisher_.timeUntilLoaded(service, known->second, *waitingFor, now());
        if (!timeUntilLoaded && job.isHeldBack() && job.waited(now()) > agentConnectTimeout)
            return job.refuseAsHeldBack();
        if (!timeUntilLoaded && !demandPublisher_.hasLoader(service, waitingFor->target.model)
            && job.waited(now()) > agentConnectTimeout)
            return job.refuseAsHopeless(left);
        if (!timeUntilLoaded || *timeUntilLoaded + minAnswerTime <= left)
            return;
        if (settings_.policy.countsReturning)
            demandPublisher_.expectRetry(service, *waitingFor, job.spec().deadline);
        job.refuseAsHopeless(*timeUntilLoaded);
    }

    void schedulePlan(Milliseconds within)
    {
        const Deadline at = Deadline::after(now(), within);
        if (planTimer_ && planAt_ <= at)
            return;
        planAt_ = at;
        planTimer_ = context_.traffic.runAt(at, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->plan();
        });
    }

    /// Walks a copy, since the action may end a job.
    template <typename Action> void forEachJob(const Action& action)
    {
        const JobIndex::Jobs jobs = jobs_.all();
        for (const auto& job : jobs)
            job->runGuarded([&] { action(*job); });
    }

    void failOverIfSilent()
    {
        if (!upstreams_.mayAnyBeSilent(now()))
            return;
        forEachJob([](RequestJob& job) { job.failOverIfSilent(); });
    }

    void plan()
    {
        planTimer_.reset();
        schedulePlan(planInterval);
        upstreams_.expire(now());
        limits_.expire(now());
        customerTurns_.refresh(now());
        failOverIfSilent();
        if (routes_)
            demandPublisher_.plan(
                *routes_->configuration(), [this](const ServiceName& service) { return waitingFor(service); },
                engineLimits(), settings_.policy, now());
        dispatchWaiting();
    }

    /// Returns the rates at which engines take requests; one that rests takes none.
    DemandPublisher::EngineLimits engineLimits() const
    {
        DemandPublisher::EngineLimits limits = limits_.rates(now());
        for (const Endpoint& engine : upstreams_.restingEngines(now()))
            limits[engine] = ratelimits::RequestRate(0);
        return limits;
    }

    std::vector<WaitingRequests> waitingFor(const ServiceName& service) const
    {
        std::vector<WaitingRequests> waiting;
        for (const auto& job : jobs_.all()) {
            if (job->spec().service != service)
                continue;
            if (const auto one = job->waitingFor())
                waiting.push_back(*one);
        }
        return waiting;
    }

    Context context_;
    ForwarderSettings settings_;
    CallerIdentity identity_;
    /// Set when this process begins to shut down.
    std::optional<framework::ShutdownDeadlines> shutdownDeadlines_;
    std::unique_ptr<framework::Timer> startByTimer_;
    UpstreamTable upstreams_;
    LimitedServers limits_;
    ServerNotices notices_;
    std::shared_ptr<quarantine::RequestQuarantine> quarantine_;
    std::unique_ptr<catalog::RouteTable> routes_;
    std::unique_ptr<catalog::Ranking> ranking_;
    framework::BoundedLabels customerLabels_;
    framework::LogLimiter notRoutedLines_ { notRoutedLinesPerSecond };
    CustomerTurns customerTurns_;
    JobIndex jobs_;
    std::map<ServiceName, policy::RetryBudget> budgets_;
    DemandPublisher demandPublisher_;
    /// Queues at the engines that have a model loaded, by model and the priority of the queued requests.
    std::map<std::pair<framework::ModelName, std::uint32_t>, policy::StandingQueue> queues_;
    std::unique_ptr<framework::Timer> planTimer_;
    Deadline planAt_;
    bool isDispatchPosted_ = false;
    /// Dispatches the waiting requests again at this time.
    std::unique_ptr<framework::Timer> dispatchTimer_;
    Deadline dispatchAt_;
};

Forwarder::Forwarder(Context context, const ForwarderSettings& settings)
    : implementation_(std::make_shared<Implementation>(std::move(context), settings))
{
}

Forwarder::~Forwarder() = default;

void Forwarder::handle(const std::shared_ptr<http::IExchange>& exchange) { implementation_->handle(exchange); }

void Forwarder::start() { implementation_->start(); }

void Forwarder::setSettings(const ForwarderSettings& settings) { implementation_->setSettings(settings); }

void Forwarder::setConfiguration(ConfigurationPointer configuration)
{
    implementation_->setConfiguration(std::move(configuration));
}

void Forwarder::didConfirmConfiguration(framework::SteadyTime at) { implementation_->didConfirmConfiguration(at); }

void Forwarder::didConfirmUpstreams(framework::SteadyTime at) { implementation_->didConfirmUpstreams(at); }

void Forwarder::setUpstreams(const std::vector<catalog::Upstream>& upstreams)
{
    implementation_->setUpstreams(upstreams);
}

void Forwarder::setEngineState(catalog::EngineState state) { implementation_->setState(std::move(state)); }

void Forwarder::setEngineLoad(const catalog::EngineLoad& load) { implementation_->setLoad(load); }

void Forwarder::forgetEngine(const Endpoint& engine) { implementation_->forgetState(engine); }

void Forwarder::addEvidence(const quarantine::EvidenceUpdate& update) { implementation_->addEvidence(update); }

void Forwarder::setCustomerUse(const fairness::SummedUse& use) { implementation_->setCustomerUse(use); }

std::vector<quarantine::SuspectSummary> Forwarder::suspects() { return implementation_->quarantine().suspects(); }

bool Forwarder::release(const quarantine::ReleaseOrder& order)
{
    return implementation_->quarantine().release(order.request, order.operatorName);
}

void Forwarder::addLimits(const std::vector<ratelimits::LimitStatement>& limits) { implementation_->addLimits(limits); }

void Forwarder::didLoseAgent(const Endpoint& engine) { implementation_->didLoseAgent(engine); }

void Forwarder::beginShutdown(const framework::ShutdownDeadlines& deadlines)
{
    implementation_->beginShutdown(deadlines);
}

void Forwarder::answerNow() { implementation_->answerNow(); }

std::size_t Forwarder::requests() const { return implementation_->requests(); }

void Forwarder::logUnanswered() const { implementation_->logUnanswered(); }

} // namespace lagoon::forwarding
