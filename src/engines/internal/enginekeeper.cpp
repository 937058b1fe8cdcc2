#include "engines/enginekeeper.h"

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
constexpr Milliseconds pollQuiet { 200 };
constexpr Milliseconds pollWhileLoading { 25 };
constexpr Milliseconds pollWhileWaited { 12 };
/// Routers say when a model that is in the way falls idle; reports only confirm it.
constexpr Milliseconds pollWhileInTheWay { 50 };
constexpr int partOfLoadTime = 8;
/// On the same VM an answer takes a few milliseconds; an engine that needs longer is as good as silent.
constexpr Milliseconds reportTime { 600 };
constexpr Milliseconds orderTime { 1000 };
/// Routers take an agent that is silent for two of these for gone.
constexpr Milliseconds publishEach { 900 };
/// A report that is younger than this is good enough to decide by.
constexpr Milliseconds reportHolds { 8 };
/// Model sizes hardly change, and a reading that may be seconds old costs a tenth.
constexpr Milliseconds profileEach { 6000 };
constexpr Milliseconds profileAgain { 400 };
constexpr Milliseconds storeTime { 1000 };
constexpr Milliseconds fenceFirst { 200 };
constexpr Milliseconds fenceLongest { 2000 };
/// After the engine said that it is busy with something that this process doesn't know of.
constexpr Milliseconds busyPause { 60 };
/// A report that goes on showing fewer orders than were accepted is a restarted engine's, not an old one.
constexpr Milliseconds oldReportsFor { 700 };

/// How long an order without an answer may still be carried out.
constexpr Milliseconds lateOrdersFor { 30000 };

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
    for (const catalog::HeldModel& held : state.held) {
        digest += held.model.value() + ':';
        for (const framework::AdapterName& adapter : held.adapters)
            digest += adapter.value() + ',';
    }
    digest += '|';
    for (const framework::ModelName& model : state.leaving)
        digest += model.value() + ',';
    digest += '|';
    for (const catalog::EngineState::Expected& expected : state.expected)
        digest += expected.model.value() + (expected.within >= catalog::cannotPlace ? "-," : ",");
    digest += '|' + std::to_string(state.memory.value()) + '|' + std::to_string(state.atHand.disk.size());
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

EngineKeeper::EngineKeeper(Context context, const KeeperSettings& settings)
    : context_(std::move(context))
    , settings_(settings)
    , plan_(policy::makeLoadOrder({}))
    , fenceBackoff_(fenceFirst, fenceLongest, framework::randomNumber())
{
}

EngineKeeper::~EngineKeeper() = default;

void EngineKeeper::start()
{
    takeFence();
    readProfile();
    poll();
}

void EngineKeeper::readProfile()
{
    profileTimer_.reset();
    context_.profiles.read(Deadline::after(context_.clock.now(), storeTime),
        [this, alive = std::weak_ptr<int>(alive_)](Result<catalog::ConfigurationPointer> read) {
            if (alive.expired())
                return;
            if (read.has_value() && read.value()
                && (!configuration_ || read.value()->version >= configuration_->version)) {
                configuration_ = read.value();
                const catalog::Service* const service = configuration_->find(settings_.service);
                profile_ = service && service->engine ? &*service->engine : nullptr;
            }
            const Milliseconds pause = profile_ ? profileEach : profileAgain;
            profileTimer_
                = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { readProfile(); });
        });
}

/// Guards against two lives of this agent at one engine: what an earlier one sent and the network still holds has a
/// lower number, which the engine refuses.
void EngineKeeper::takeFence()
{
    if (std::exchange(isTakingFence_, true))
        return;
    fence_.reset();
    context_.fences.next(Deadline::after(context_.clock.now(), storeTime),
        [this, alive = std::weak_ptr<int>(alive_)](Result<framework::FencingNumber> taken) {
            if (alive.expired())
                return;
            isTakingFence_ = false;
            if (taken.has_value()) {
                fence_ = taken.value();
                fenceBackoff_.reset();
                logDecision(LogLine("fence_taken").number("fence", fence_->value()));
                return;
            }
            logDecision(LogLine("fence_not_taken").text("cause", describe(taken.error())));
            const Deadline again = Deadline::after(context_.clock.now(), fenceBackoff_.next(taken.error().retryAfter));
            fenceTimer_ = context_.control.runAt(again, [this] { takeFence(); });
        });
}

void EngineKeeper::setWanted(
    const framework::VmName& router, const catalog::InstanceId& instance, catalog::WantedList wanted)
{
    if (!instance.value().empty() && instance != instance_ && instance != deniedInstance_) {
        logDecision(LogLine("engine_instance").text("instance", instance.value()).text("router", router.value()));
        instance_ = instance;
    }
    wanted_.set(router, std::move(wanted), context_.clock.now());
    // A report that is a moment old decides at once; else the next one does.
    if (report_ && context_.clock.now() - reportedAt_ < reportHolds)
        decide();
    else
        poll();
}

void EngineKeeper::forgetRouter(const framework::VmName& router) { wanted_.forget(router); }

void EngineKeeper::poll()
{
    if (isReporting_ || isOrdering_)
        return;
    isReporting_ = true;
    pollTimer_.reset();
    context_.engine.report(Deadline::after(context_.clock.now(), reportTime),
        [this, alive = std::weak_ptr<int>(alive_)](Result<EngineReport> report) {
            if (!alive.expired())
                didReport(std::move(report));
        });
}

void EngineKeeper::pollAfter(Milliseconds pause)
{
    pollTimer_ = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { poll(); });
}

void EngineKeeper::didReport(Result<EngineReport> report)
{
    isReporting_ = false;
    if (report.has_error()) {
        if (!std::exchange(isEngineLost_, true))
            logDecision(LogLine("engine_lost").text("cause", describe(report.error())));
        // Without a report nothing is known, and nothing is said: routers go on by the platform's list.
        report_.reset();
        return pollAfter(pollQuiet);
    }
    if (std::exchange(isEngineLost_, false))
        logDecision(LogLine("engine_regained"));
    noteRestart(report.value());
    if (report.value().orders < ordersKnown_)
        return pollAfter(pollWhileWaited);
    ordersKnown_ = report.value().orders;
    report_ = std::move(report.value());
    reportedAt_ = context_.clock.now();
    decide();
    if (!isOrdering_)
        pollAfter(pollPause());
}

void EngineKeeper::noteRestart(const EngineReport& report)
{
    const bool isOtherRun = report.started && started_ && *report.started != *started_;
    if (report.started)
        started_ = report.started;
    if (isOtherRun)
        return beginAnew(report);
    const framework::SteadyTime now = context_.clock.now();
    if (report.orders >= ordersKnown_) {
        ordersKnownAt_ = now;
        return;
    }
    if (now - ordersKnownAt_ < oldReportsFor)
        return;
    beginAnew(report);
}

/// Nothing holds of the engine's former run. Guards against what that one was ordered and didn't answer: it may be
/// carried out now, since the engine has forgotten the fences and its count comes to the expected one again. With a
/// newer number from the first order on the engine refuses it.
void EngineKeeper::beginAnew(const EngineReport& report)
{
    const framework::SteadyTime now = context_.clock.now();
    const bool mayComeLate = !lateOrdersUntil_.hasPassed(now);
    logDecision(LogLine("engine_restarted")
                    .number("orders", report.orders.value())
                    .number("orders_before", ordersKnown_.value())
                    .number("started_ms", started_ ? started_->value() : 0)
                    .flag("takes_fence", mayComeLate));
    ordersKnown_ = report.orders;
    ordersKnownAt_ = now;
    deniedInstance_ = catalog::InstanceId();
    holdOrders_ = Deadline();
    plan_.reset();
    if (mayComeLate)
        takeFence();
    lateOrdersUntil_ = Deadline();
}

Milliseconds EngineKeeper::pollPause() const
{
    if (!report_->comingAdapters.empty())
        return pollWhileWaited;
    if (report_->isBusy)
        return pollPauseWhileLoading();
    for (const auto& [target, wanted] : wanted_.merged()) {
        if (wanted.waiting > 0)
            return pollWhileInTheWay;
    }
    return pollQuiet;
}

/// Often around the time at which the load should end, seldom long before and long after it.
Milliseconds EngineKeeper::pollPauseWhileLoading() const
{
    const auto loadedBy = plan_.loadedBy();
    if (!loadedBy)
        return pollWhileLoading;
    const auto distance
        = std::chrono::abs(std::chrono::duration_cast<Milliseconds>(loadedBy->at() - context_.clock.now()));
    return std::clamp(distance / partOfLoadTime, pollWhileLoading, pollQuiet);
}

PlacementInput EngineKeeper::input(const std::map<catalog::ModelTarget, catalog::Wanted>& wanted) const
{
    return { *profile_, *report_, wanted, context_.clock.now() };
}

bool EngineKeeper::canOrder() const
{
    return !isOrdering_ && !isReporting_ && fence_ && !instance_.value().empty()
        && holdOrders_.hasPassed(context_.clock.now());
}

void EngineKeeper::decide()
{
    wanted_.forgetSilent(context_.clock.now());
    if (!profile_ || !report_)
        return;
    const auto& wanted = wanted_.merged();
    const PlacementDecision decision = plan_.decide(input(wanted));
    publish(decision, wanted);
    if (decision.order && canOrder())
        give(*decision.order, decision.reason);
}

void EngineKeeper::give(const Order& order, const std::string& reason)
{
    isOrdering_ = true;
    pollTimer_.reset();
    const OrderTerms terms { settings_.vm, *fence_, report_->orders, instance_ };
    logDecision(LogLine("order")
                    .text("kind", order.kind == OrderKind::Load ? "load" : "unload")
                    .text("target", targetText(order.target))
                    .text("reason", reason)
                    .number("fence", terms.fence.value())
                    .number("expected", terms.expected.value())
                    .text("instance", terms.instance.value())
                    .number("report_age_ms",
                        std::chrono::duration_cast<Milliseconds>(context_.clock.now() - reportedAt_).count()));
    context_.engine.order(order, terms, Deadline::after(context_.clock.now(), orderTime),
        [this, alive = std::weak_ptr<int>(alive_), order](const OrderAnswer& answer) {
            if (!alive.expired())
                didOrder(order, answer);
        });
}

void EngineKeeper::didOrder(const Order& order, const OrderAnswer& answer)
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
            plan_.didOrder(order, input(wanted_.merged()));
        break;
    case OrderOutcome::Busy:
    case OrderOutcome::Refused:
        holdOrders_ = Deadline::after(now, busyPause);
        break;
    case OrderOutcome::Fenced:
        takeFence();
        break;
    case OrderOutcome::OtherInstance:
        deniedInstance_ = std::exchange(instance_, answer.instance);
        plan_.reset();
        ordersKnown_ = OrderCount();
        break;
    case OrderOutcome::Unknown:
        // It may still come, for many seconds. The next order carries the same expected count, so that the engine takes
        // at most one of the two.
        holdOrders_ = Deadline::after(now, busyPause);
        lateOrdersUntil_ = Deadline::after(now, lateOrdersFor);
        break;
    }
    report_.reset();
    poll();
}

void EngineKeeper::publish(
    const PlacementDecision& decision, const std::map<catalog::ModelTarget, catalog::Wanted>& wanted)
{
    catalog::EngineState state;
    state.engine = settings_.engine;
    state.started = report_->started;
    state.held = report_->held;
    for (catalog::HeldModel& held : state.held) {
        const auto found = wanted.find({ held.model, {} });
        held.work = found == wanted.end() ? 0 : found->second.work;
        held.inUse = usesOf(wanted, held.model);
    }
    state.leaving = decision.leaving;
    state.atHand = report_->atHand;
    state.loading = plan_.loading();
    state.loadsFromStore = plan_.loadsFromStore();
    state.running = report_->running;
    state.queued = report_->queued;
    state.usedMemory = report_->usedMemory;
    state.memory = report_->memory;
    state.routers = static_cast<std::uint32_t>(wanted_.routers());
    state.expected = decision.expected;
    std::string stateNow = stateDigest(state);
    std::string loadNow = loadDigest(state);
    const bool isDue = context_.clock.now() - publishedAt_ >= publishEach;
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
