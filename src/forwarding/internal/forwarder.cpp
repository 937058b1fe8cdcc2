#include "forwarding/forwarder.h"

#include "catalog/routetable.h"
#include "forwarding/internal/loadrequests.h"
#include "forwarding/internal/requestjob.h"
#include "framework/decisionlog.h"
#include "framework/randomid.h"
#include "policy/retrybudget.h"
#include "policy/standingqueue.h"

#include <algorithm>
#include <set>
#include <unordered_map>
#include <utility>

namespace lagoon::forwarding {

namespace {

using catalog::ConfigurationPointer;
using framework::Deadline;
using framework::Endpoint;
using framework::LogLine;
using framework::Milliseconds;
using framework::ServiceName;

/// Agents hear of changed demand this soon; what changes meanwhile goes with it.
constexpr Milliseconds planWithin { 15 };
/// Of what no request waits for.
constexpr Milliseconds planCalmly { 100 };
/// And without a change, since averages move.
constexpr Milliseconds planEach { 500 };
/// To come back while this process knows no configuration yet: it reads one within about a second of its start.
constexpr Milliseconds untilConfigured { 500 };
/// A model's request isn't answered faster than this once the model is there.
constexpr Milliseconds fastestAnswer { 60 };
/// How long a request waits for an agent to be linked before it is refused: links take a few network delays.
constexpr Milliseconds agentPatience { 600 };
/// Part of the operators' reserve of repeats that all routers together plan with: one that has just started has a full
/// share again, and may not know yet how many others there are.
constexpr double shareOfReserve = 0.6;
const catalog::RouteTarget& drawTarget(const catalog::Route& route)
{
    double all = 0;
    for (const catalog::RouteTarget& target : route.targets)
        all += target.weight;
    double drawn = framework::randomFraction() * all;
    for (const catalog::RouteTarget& target : route.targets) {
        drawn -= target.weight;
        if (drawn < 0)
            return target;
    }
    return route.targets.back();
}

} // namespace

class Forwarder::Implementation final : public IJobHost, public std::enable_shared_from_this<Implementation> {
public:
    Implementation(Context context, const ForwarderSettings& settings)
        : context_(std::move(context))
        , settings_(settings)
        , upstreams_(context_.traffic.context())
        , loads_(upstreams_, context_.publish, context_.clock.now())
    {
        upstreams_.setPolicy(settings.policy);
    }

    void start() { planSoon(planEach); }

    void handle(const std::shared_ptr<http::IExchange>& exchange)
    {
        if (!routes_)
            return refuse(*exchange, 503, "no configuration yet", untilConfigured);
        const std::string_view host = exchange->request().headers.find("Host").value_or("");
        const catalog::Route* const route = routes_->find(host, exchange->request().target);
        if (!route)
            return refuse(*exchange, 404, "no route", std::nullopt);
        auto facts = context_.dialect.read(exchange->request());
        if (facts.has_error())
            return refuse(*exchange, 400, facts.error().detail, std::nullopt);
        begin(exchange, *route, std::move(facts.value()));
    }

    void setSettings(const ForwarderSettings& settings)
    {
        settings_ = settings;
        upstreams_.setPolicy(settings.policy);
        budgets_.clear();
    }

    void setConfiguration(ConfigurationPointer configuration)
    {
        routes_ = std::make_unique<catalog::RouteTable>(configuration);
        upstreams_.setConfiguration(std::move(configuration));
        retryWaiting();
    }

    void setUpstreams(const std::vector<catalog::Upstream>& list)
    {
        upstreams_.setUpstreams(list);
        retryWaiting();
        planSoon(planWithin);
    }

    void didConfirmUpstreams(framework::SteadyTime at) { upstreams_.didConfirmList(at); }

    void setState(catalog::EngineState state)
    {
        std::vector<framework::ModelName> models = modelsOf(state);
        upstreams_.setState(std::move(state), now());
        planSoon(retryWaitingFor(models) ? planWithin : planCalmly);
    }

    void setLoad(const catalog::EngineLoad& load)
    {
        upstreams_.setLoad(load, now());
        planSoon(planCalmly);
    }

    void forgetState(const Endpoint& engine) { upstreams_.forgetState(engine); }

    void didLoseAgent(const Endpoint& engine)
    {
        upstreams_.didLoseAgent(engine, now());
        planSoon(planWithin);
    }

    void beginShutdown(const framework::ShutdownDeadlines& end)
    {
        end_ = end;
        for (const auto& job : jobs_)
            job->beginShutdown(end);
        retryWaiting();
        // What still waits then is too late to start.
        startTimer_ = context_.traffic.runAt(end.startBy, [weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->retryWaiting();
        });
    }

    void answerNow()
    {
        const auto jobs = jobs_;
        for (const auto& job : jobs)
            job->answerNow();
    }

    std::size_t requests() const { return jobs_.size(); }

    void logUnanswered() const
    {
        for (const auto& job : jobs_)
            job->logUnanswered();
    }

    UpstreamTable& upstreams() override { return upstreams_; }
    const IRequestDialect& dialect() const override { return context_.dialect; }
    const ForwarderSettings& settings() const override { return settings_; }
    framework::EventThread& thread() override { return context_.traffic; }
    framework::Metrics& metrics() override { return *context_.metrics; }
    framework::SteadyTime now() const override { return context_.clock.now(); }
    bool spendRepeat(const ServiceName& service) override
    {
        return settings_.policy.repeatsRequests && budget(service).spend();
    }

    void didFindQueue(const JobTerms& terms, Milliseconds expected) override
    {
        queues_[{ terms.facts.model, terms.route->priority }].didArrive(expected, terms.route->targetLatency, now());
    }

    bool isOverloaded(const JobTerms& terms, Milliseconds expected) const override
    {
        const Milliseconds target = terms.route->targetLatency;
        // Without a target there is nothing by which a queue could be too long.
        if (target.count() <= 0 || expected <= target || !settings_.policy.refusesOverload)
            return false;
        const auto queue = queues_.find({ terms.facts.model, terms.route->priority });
        const bool isStanding = queue != queues_.end() && queue->second.isStanding(target, now());
        return isStanding || now() + expected > terms.firstEventBy.at();
    }

    void didRun(Milliseconds took) override { loads_.didRun(took); }

    void demandChanged() override { planSoon(planCalmly); }

    void didEnd(const std::shared_ptr<RequestJob>& job) override
    {
        jobs_.erase(job);
        noteEnd(job);
        planSoon(planCalmly);
        if (std::exchange(isRetryPosted_, true))
            return;
        // Not from here: the request that ended is still on the stack.
        context_.traffic.post([weak = weak_from_this()] {
            if (const auto self = weak.lock())
                self->retryWaiting();
        });
    }

private:
    void refuse(
        http::IExchange& exchange, unsigned status, const std::string& cause, std::optional<Milliseconds> retryAfter)
    {
        logDecision(LogLine("not_routed")
                        .text("host", exchange.request().headers.find("Host").value_or(""))
                        .text("target", exchange.request().target)
                        .number("configuration", routes_ ? routes_->configuration()->version.value() : 0)
                        .number("status", status)
                        .text("cause", cause));
        context_.metrics->count("lagoon_not_routed_total", { { "status", std::to_string(status) } });
        exchange.answer(context_.dialect.refusal(status, retryAfter), {});
    }

    void begin(const std::shared_ptr<http::IExchange>& exchange, const catalog::Route& route, RequestFacts facts)
    {
        JobTerms terms;
        terms.configuration = routes_->configuration();
        terms.route = &route;
        terms.service = drawTarget(route).service;
        const Milliseconds patience = std::min(route.timeout, facts.timeLeft.value_or(route.timeout));
        terms.deadline = Deadline::after(exchange->receivedAt(), patience);
        const Milliseconds untilFirst = route.patience.count() > 0 ? route.patience : patience;
        terms.firstEventBy = Deadline::after(exchange->receivedAt(), std::min(patience, untilFirst));
        loads_.didArrive(terms.service, facts, now());
        terms.facts = std::move(facts);
        budget(terms.service).earn();
        const auto job = std::make_shared<RequestJob>(*this, exchange, std::move(terms));
        if (end_)
            job->beginShutdown(*end_);
        jobs_.insert(job);
        if (!job->terms().facts.model.value().empty())
            jobsByModel_[job->terms().facts.model].insert(job);
        job->start();
        if (job->isWaiting())
            planSoon(Milliseconds(0));
    }

    /// Each router spends by its own requests and its part of the reserve, so that all together keep to the operators'
    /// bound without talking. Guards against routers that have all just started: how many there are is known only once
    /// an agent has been heard, and until then each takes a small part.
    policy::RetryBudget& budget(const ServiceName& service)
    {
        const double reserve = std::max(1.0, shareOfReserve * settings_.repeatReserve / upstreams_.routers());
        policy::RetryBudget& budget = budgets_.try_emplace(service, settings_.repeatShare, reserve).first->second;
        budget.setMost(reserve);
        return budget;
    }

    void noteEnd(const std::shared_ptr<RequestJob>& job)
    {
        const auto ofModel = jobsByModel_.find(job->terms().facts.model);
        if (ofModel != jobsByModel_.end() && ofModel->second.erase(job) > 0 && ofModel->second.empty())
            jobsByModel_.erase(ofModel);
    }

    using Jobs = std::set<std::shared_ptr<RequestJob>>;
    /// Engines that agents speak for, by service; gathered once for all requests that are looked at together.
    using EnginesByService = std::map<ServiceName, std::vector<EngineFacts>>;

    static std::vector<framework::ModelName> modelsOf(const catalog::EngineState& state)
    {
        std::vector<framework::ModelName> models;
        for (const catalog::HeldModel& held : state.held)
            models.push_back(held.model);
        for (const catalog::EngineState::Expected& expected : state.expected)
            models.push_back(expected.model);
        return models;
    }

    void retryWaiting()
    {
        isRetryPosted_ = false;
        retry(jobs_);
    }

    /// Those that an engine's state may concern, so that its cost doesn't grow with the number of requests. Returns
    /// whether there were any.
    bool retryWaitingFor(const std::vector<framework::ModelName>& models)
    {
        Jobs concerned;
        for (const framework::ModelName& model : models) {
            const auto ofModel = jobsByModel_.find(model);
            if (ofModel != jobsByModel_.end())
                concerned.insert(ofModel->second.begin(), ofModel->second.end());
        }
        return retry(concerned);
    }

    bool retry(const Jobs& jobs)
    {
        std::vector<std::shared_ptr<RequestJob>> waiting;
        for (const auto& job : jobs) {
            if (job->isWaiting())
                waiting.push_back(job);
        }
        std::sort(waiting.begin(), waiting.end(), [](const auto& left, const auto& right) {
            return std::tie(left->terms().route->priority, left->terms().deadline)
                < std::tie(right->terms().route->priority, right->terms().deadline);
        });
        for (const auto& job : waiting)
            job->advance();
        EnginesByService engines;
        for (const auto& job : waiting) {
            if (job->isWaiting())
                refuseIfHopeless(*job, engines);
        }
        return !waiting.empty();
    }

    /// A request that waits for a model is refused once even the soonest end of its load is too late, or when there is
    /// nobody who could load it.
    void refuseIfHopeless(RequestJob& job, EnginesByService& engines)
    {
        const auto waitingFor = job.waitingFor();
        if (!waitingFor || !settings_.policy.refusesHopeless)
            return;
        const ServiceName& service = job.terms().service;
        const Milliseconds left = job.terms().firstEventBy.remaining(now());
        if (!waitingFor->target.adapter.value().empty())
            return;
        auto known = engines.find(service);
        if (known == engines.end())
            known = engines.emplace(service, upstreams_.engines(service, now())).first;
        const auto soonest = loads_.soonest(service, known->second, *waitingFor, now());
        if (!soonest && !loads_.hasLoader(service, waitingFor->target.model) && job.waited(now()) > agentPatience)
            return job.refuseAsHopeless(left);
        if (!soonest || *soonest + fastestAnswer <= left)
            return;
        if (settings_.policy.countsReturning)
            loads_.keepFor(service, *waitingFor, job.terms().deadline);
        job.refuseAsHopeless(*soonest);
    }

    void planSoon(Milliseconds within)
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

    void leaveSilent()
    {
        if (!upstreams_.mayHaveSilent(now()))
            return;
        const auto jobs = jobs_;
        for (const auto& job : jobs)
            job->leaveSilent();
    }

    void plan()
    {
        planTimer_.reset();
        upstreams_.forgetLosses(now());
        leaveSilent();
        if (routes_)
            loads_.plan(
                *routes_->configuration(), [this](const ServiceName& service) { return waitingFor(service); },
                settings_.policy, now());
        retryWaiting();
        planSoon(planEach);
    }

    std::vector<WaitingFor> waitingFor(const ServiceName& service) const
    {
        std::vector<WaitingFor> waiting;
        for (const auto& job : jobs_) {
            if (job->terms().service != service)
                continue;
            if (const auto one = job->waitingFor())
                waiting.push_back(*one);
        }
        return waiting;
    }

    Context context_;
    ForwarderSettings settings_;
    /// Set once this process is to end.
    std::optional<framework::ShutdownDeadlines> end_;
    std::unique_ptr<framework::Timer> startTimer_;
    UpstreamTable upstreams_;
    std::unique_ptr<catalog::RouteTable> routes_;
    Jobs jobs_;
    std::unordered_map<framework::ModelName, Jobs> jobsByModel_;
    std::map<ServiceName, policy::RetryBudget> budgets_;
    LoadRequests loads_;
    /// At the engines that hold a model, by the priority of those that queue.
    std::map<std::pair<framework::ModelName, std::uint32_t>, policy::StandingQueue> queues_;
    std::unique_ptr<framework::Timer> planTimer_;
    Deadline planAt_;
    bool isRetryPosted_ = false;
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

void Forwarder::didConfirmUpstreams(framework::SteadyTime at) { implementation_->didConfirmUpstreams(at); }

void Forwarder::setUpstreams(const std::vector<catalog::Upstream>& upstreams)
{
    implementation_->setUpstreams(upstreams);
}

void Forwarder::setEngineState(catalog::EngineState state) { implementation_->setState(std::move(state)); }

void Forwarder::setEngineLoad(const catalog::EngineLoad& load) { implementation_->setLoad(load); }

void Forwarder::forgetEngine(const Endpoint& engine) { implementation_->forgetState(engine); }

void Forwarder::didLoseAgent(const Endpoint& engine) { implementation_->didLoseAgent(engine); }

void Forwarder::beginShutdown(const framework::ShutdownDeadlines& end) { implementation_->beginShutdown(end); }

void Forwarder::answerNow() { implementation_->answerNow(); }

std::size_t Forwarder::requests() const { return implementation_->requests(); }

void Forwarder::logUnanswered() const { implementation_->logUnanswered(); }

} // namespace lagoon::forwarding
