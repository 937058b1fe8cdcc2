#include "engines/enginecontroller.h"

#include "framework/decisionlog.h"
#include "framework/randomid.h"
#include "policy/policysetup.h"

#include <algorithm>
#include <utility>

namespace lagoon::engines {

namespace {

using framework::Deadline;
using framework::LogLine;
using framework::Milliseconds;
using framework::Result;

/// Reading the state costs the engine nothing, and this VM a millisecond of a slow processor: often while something is
/// waited for, seldom otherwise.
constexpr Milliseconds idlePollInterval { 200 };
constexpr Milliseconds loadingPollInterval { 25 };
constexpr Milliseconds fastPollInterval { 12 };
/// Routers say when a model that is in the way falls idle; reports only confirm it.
constexpr Milliseconds waitingPollInterval { 50 };
constexpr int loadTimeDivisor = 8;
/// On the same VM an answer takes a few milliseconds; an engine that needs longer is as good as silent.
constexpr Milliseconds reportTimeout { 600 };
constexpr Milliseconds orderTimeout { 1000 };
/// Routers take an agent that is silent for two of these for gone.
constexpr Milliseconds publishInterval { 900 };
/// A report that is younger than this is good enough to decide by.
constexpr Milliseconds maxReportAge { 8 };
/// Model sizes hardly change, and a reading that may be seconds old costs a tenth.
constexpr Milliseconds profileInterval { 6000 };
constexpr Milliseconds profileRetryInterval { 400 };
constexpr Milliseconds storeTimeout { 1000 };
constexpr Milliseconds minTokenBackoff { 200 };
constexpr Milliseconds maxTokenBackoff { 2000 };
/// After the engine said that it is busy with something that this process doesn't know of.
constexpr Milliseconds busyBackoff { 60 };
/// A report that goes on showing fewer orders than were accepted is a restarted engine's, not an old one.
constexpr Milliseconds staleReportWindow { 700 };

/// How long an order without an answer may still be carried out.
constexpr Milliseconds lateOrderWindow { 30000 };

std::string targetText(const catalog::ModelTarget& target)
{
    return target.adapter.value().empty() ? target.model.value() : target.model.value() + "/" + target.adapter.value();
}

std::string_view outcomeText(OrderOutcome outcome)
{
    switch (outcome) {
    case OrderOutcome::Accepted:
        return "accepted";
    case OrderOutcome::Busy:
        return "busy";
    case OrderOutcome::Fenced:
        return "fenced";
    case OrderOutcome::OtherInstance:
        return "other_instance";
    case OrderOutcome::Refused:
        return "refused";
    case OrderOutcome::Unknown:
        return "unknown";
    }
    return "";
}

/// Of everything but the load.
std::string stateDigest(const catalog::EngineState& state)
{
    std::string digest = std::to_string(state.started ? state.started->value() : 0) + '|' + state.loading.value() + '|';
    for (const catalog::LoadedModel& held : state.held) {
        digest += held.model.value() + ':';
        for (const framework::AdapterName& adapter : held.adapters)
            digest += adapter.value() + ',';
    }
    digest += '|';
    for (const framework::ModelName& model : state.draining)
        digest += model.value() + ',';
    digest += '|';
    for (const catalog::EngineState::Expected& expected : state.expected)
        digest += expected.model.value() + (expected.within >= catalog::loadImpossible ? "-," : ",");
    digest += '|' + std::to_string(state.memory.value()) + '|' + std::to_string(state.cachedWeights.disk.size());
    return digest;
}

/// Coarse: a change here is published at once, others with the next heartbeat.
std::string loadDigest(const catalog::EngineState& state)
{
    constexpr std::uint64_t tokenStep = 20000;
    constexpr std::uint32_t requestStep = 4;
    return std::to_string(state.usedMemory.value() / tokenStep) + '|'
        + std::to_string((state.running + state.queued) / requestStep) + '|' + std::to_string(state.queued);
}

} // namespace

EngineController::EngineController(Context context, const EngineControllerSettings& settings)
    : context_(std::move(context))
    , settings_(settings)
    , planner_(policy::makeLoadOrder({}))
    , tokenBackoff_(minTokenBackoff, maxTokenBackoff, framework::randomNumber())
{
}

EngineController::~EngineController() = default;

void EngineController::start()
{
    acquireFencingToken();
    readProfile();
    poll();
}

void EngineController::readProfile()
{
    profileTimer_.reset();
    context_.profiles.read(Deadline::after(context_.clock.now(), storeTimeout),
        [this, alive = std::weak_ptr<int>(alive_)](Result<catalog::ConfigurationPointer> read) {
            if (alive.expired())
                return;
            if (read.has_value() && read.value()
                && (!configuration_ || read.value()->version >= configuration_->version)) {
                configuration_ = read.value();
                const catalog::Service* const service = configuration_->find(settings_.service);
                profile_ = service && service->engine ? &*service->engine : nullptr;
            }
            const Milliseconds pause = profile_ ? profileInterval : profileRetryInterval;
            profileTimer_
                = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { readProfile(); });
        });
}

/// Guards against two lives of this agent at one engine: what an earlier one sent and the network still holds has a
/// lower number, which the engine refuses.
void EngineController::acquireFencingToken()
{
    if (std::exchange(isAcquiringToken_, true))
        return;
    fencingToken_.reset();
    context_.fencingTokens.next(Deadline::after(context_.clock.now(), storeTimeout),
        [this, alive = std::weak_ptr<int>(alive_)](Result<framework::FencingToken> taken) {
            if (alive.expired())
                return;
            isAcquiringToken_ = false;
            if (taken.has_value()) {
                fencingToken_ = taken.value();
                tokenBackoff_.reset();
                logDecision(LogLine("fence_taken").number("fence", fencingToken_->value()));
                return;
            }
            logDecision(LogLine("fence_not_taken").text("cause", describe(taken.error())));
            const Deadline again = Deadline::after(context_.clock.now(), tokenBackoff_.next(taken.error().retryAfter));
            tokenTimer_ = context_.control.runAt(again, [this] { acquireFencingToken(); });
        });
}

void EngineController::setDemand(
    const framework::VmName& router, const catalog::InstanceId& instance, catalog::DemandList demand)
{
    if (!instance.value().empty() && instance != instance_ && instance != rejectedInstance_) {
        logDecision(LogLine("engine_instance").text("instance", instance.value()).text("router", router.value()));
        instance_ = instance;
    }
    demand_.set(router, std::move(demand), context_.clock.now());
    // A report that is a moment old decides at once; else the next one does.
    if (report_ && context_.clock.now() - reportedAt_ < maxReportAge)
        decide();
    else
        poll();
}

void EngineController::forgetRouter(const framework::VmName& router) { demand_.forget(router); }

void EngineController::poll()
{
    if (isReporting_ || isOrdering_)
        return;
    isReporting_ = true;
    pollTimer_.reset();
    context_.engine.report(Deadline::after(context_.clock.now(), reportTimeout),
        [this, alive = std::weak_ptr<int>(alive_)](Result<EngineReport> report) {
            if (!alive.expired())
                didReport(std::move(report));
        });
}

void EngineController::pollAfter(Milliseconds pause)
{
    pollTimer_ = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { poll(); });
}

void EngineController::didReport(Result<EngineReport> report)
{
    isReporting_ = false;
    if (report.has_error()) {
        if (!std::exchange(isEngineLost_, true))
            logDecision(LogLine("engine_lost").text("cause", describe(report.error())));
        // Without a report nothing is known, and nothing is said: routers go on by the platform's list.
        report_.reset();
        return pollAfter(idlePollInterval);
    }
    if (std::exchange(isEngineLost_, false))
        logDecision(LogLine("engine_regained"));
    noteRestart(report.value());
    if (report.value().orders < acceptedOrders_)
        return pollAfter(fastPollInterval);
    acceptedOrders_ = report.value().orders;
    report_ = std::move(report.value());
    reportedAt_ = context_.clock.now();
    decide();
    if (!isOrdering_)
        pollAfter(pollInterval());
}

void EngineController::noteRestart(const EngineReport& report)
{
    const bool isOtherRun = report.started && started_ && *report.started != *started_;
    if (report.started)
        started_ = report.started;
    if (isOtherRun)
        return resetForNewRun(report);
    const framework::SteadyTime now = context_.clock.now();
    if (report.orders >= acceptedOrders_) {
        acceptedOrdersSeenAt_ = now;
        return;
    }
    if (now - acceptedOrdersSeenAt_ < staleReportWindow)
        return;
    resetForNewRun(report);
}

/// Nothing holds of the engine's former run. Guards against what that one was ordered and didn't answer: it may be
/// carried out now, since the engine has forgotten the fences and its count comes to the expected one again. With a
/// newer number from the first order on the engine refuses it.
void EngineController::resetForNewRun(const EngineReport& report)
{
    const framework::SteadyTime now = context_.clock.now();
    const bool mayArriveLate = !lateOrdersUntil_.hasPassed(now);
    logDecision(LogLine("engine_restarted")
                    .number("orders", report.orders.value())
                    .number("orders_before", acceptedOrders_.value())
                    .number("started_ms", started_ ? started_->value() : 0)
                    .flag("takes_fence", mayArriveLate));
    acceptedOrders_ = report.orders;
    acceptedOrdersSeenAt_ = now;
    rejectedInstance_ = catalog::InstanceId();
    ordersAllowedAt_ = Deadline();
    planner_.reset();
    if (mayArriveLate)
        acquireFencingToken();
    lateOrdersUntil_ = Deadline();
}

Milliseconds EngineController::pollInterval() const
{
    if (!report_->loadingAdapters.empty())
        return fastPollInterval;
    if (report_->isBusy)
        return pollIntervalWhileLoading();
    for (const auto& [target, demand] : demand_.merged()) {
        if (demand.waiting > 0)
            return waitingPollInterval;
    }
    return idlePollInterval;
}

/// Often around the time at which the load should end, seldom long before and long after it.
Milliseconds EngineController::pollIntervalWhileLoading() const
{
    const auto loadedBy = planner_.loadedBy();
    if (!loadedBy)
        return loadingPollInterval;
    const auto distance
        = std::chrono::abs(std::chrono::duration_cast<Milliseconds>(loadedBy->at() - context_.clock.now()));
    return std::clamp(distance / loadTimeDivisor, loadingPollInterval, idlePollInterval);
}

PlacementInput EngineController::input(const std::map<catalog::ModelTarget, catalog::TargetDemand>& demand) const
{
    return { *profile_, *report_, demand, context_.clock.now() };
}

bool EngineController::canOrder() const
{
    return !isOrdering_ && !isReporting_ && fencingToken_ && !instance_.value().empty()
        && ordersAllowedAt_.hasPassed(context_.clock.now());
}

void EngineController::decide()
{
    demand_.forgetSilentRouters(context_.clock.now());
    if (!profile_ || !report_)
        return;
    const auto& demand = demand_.merged();
    const PlacementDecision decision = planner_.decide(input(demand));
    publish(decision, demand);
    if (decision.order && canOrder())
        sendOrder(*decision.order, decision.reason);
}

void EngineController::sendOrder(const Order& order, const std::string& reason)
{
    isOrdering_ = true;
    pollTimer_.reset();
    const OrderPreconditions preconditions { settings_.vm, *fencingToken_, report_->orders, instance_ };
    logDecision(LogLine("order")
                    .text("kind", order.kind == OrderKind::Load ? "load" : "unload")
                    .text("target", targetText(order.target))
                    .text("reason", reason)
                    .number("fence", preconditions.fence.value())
                    .number("expected", preconditions.expected.value())
                    .text("instance", preconditions.instance.value())
                    .number("report_age_ms",
                        std::chrono::duration_cast<Milliseconds>(context_.clock.now() - reportedAt_).count()));
    context_.engine.order(order, preconditions, Deadline::after(context_.clock.now(), orderTimeout),
        [this, alive = std::weak_ptr<int>(alive_), order](const OrderAnswer& answer) {
            if (!alive.expired())
                didOrder(order, answer);
        });
}

void EngineController::didOrder(const Order& order, const OrderAnswer& answer)
{
    isOrdering_ = false;
    logDecision(LogLine("order_answered")
                    .text("kind", order.kind == OrderKind::Load ? "load" : "unload")
                    .text("target", targetText(order.target))
                    .text("outcome", outcomeText(answer.outcome))
                    .text("detail", answer.detail));
    context_.metrics->count("lagoon_engine_orders_total", { { "outcome", std::string(outcomeText(answer.outcome)) } });
    const framework::SteadyTime now = context_.clock.now();
    switch (answer.outcome) {
    case OrderOutcome::Accepted:
        if (profile_ && report_)
            planner_.didOrder(order, input(demand_.merged()));
        break;
    case OrderOutcome::Busy:
    case OrderOutcome::Refused:
        ordersAllowedAt_ = Deadline::after(now, busyBackoff);
        break;
    case OrderOutcome::Fenced:
        acquireFencingToken();
        break;
    case OrderOutcome::OtherInstance:
        rejectedInstance_ = std::exchange(instance_, answer.instance);
        planner_.reset();
        acceptedOrders_ = OrderCount();
        break;
    case OrderOutcome::Unknown:
        // It may still come, for many seconds. The next order carries the same expected count, so that the engine takes
        // at most one of the two.
        ordersAllowedAt_ = Deadline::after(now, busyBackoff);
        lateOrdersUntil_ = Deadline::after(now, lateOrderWindow);
        break;
    }
    report_.reset();
    poll();
}

void EngineController::publish(
    const PlacementDecision& decision, const std::map<catalog::ModelTarget, catalog::TargetDemand>& demand)
{
    catalog::EngineState state;
    state.engine = settings_.engine;
    state.started = report_->started;
    state.held = report_->held;
    for (catalog::LoadedModel& held : state.held) {
        const auto found = demand.find({ held.model, {} });
        held.work = found == demand.end() ? 0 : found->second.work;
        held.inUse = usesOf(demand, held.model);
    }
    state.draining = decision.draining;
    state.cachedWeights = report_->cachedWeights;
    state.loading = planner_.loading();
    state.loadsFromStore = planner_.loadsFromStore();
    state.running = report_->running;
    state.queued = report_->queued;
    state.usedMemory = report_->usedMemory;
    state.memory = report_->memory;
    state.routers = static_cast<std::uint32_t>(demand_.routers());
    state.expected = decision.expected;
    std::string stateNow = stateDigest(state);
    std::string loadNow = loadDigest(state);
    const bool isDue = context_.clock.now() - publishedAt_ >= publishInterval;
    const bool isSameState = stateNow == publishedState_;
    if (isSameState && loadNow == publishedLoad_ && !isDue)
        return;
    publishedState_ = std::move(stateNow);
    publishedLoad_ = std::move(loadNow);
    publishedAt_ = context_.clock.now();
    // The times of what is expected change without a change of the digest.
    if (isSameState && state.expected.empty())
        context_.publishLoad(catalog::loadOf(state));
    else
        context_.publish(state);
}

} // namespace lagoon::engines
