#include "engines/enginecontroller.h"

#include "framework/decisionlog.h"
#include "framework/eventloop.h"
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

/// Longest interval between reports, used while no request waits and no order is in progress. A report costs the engine
/// nothing, and this VM a millisecond on a slow processor, so reports are frequent only while something is in progress.
constexpr Milliseconds idlePollInterval { 200 };
/// Shortest interval while a model is being loaded.
constexpr Milliseconds loadingPollInterval { 25 };
/// Interval while adapters are being loaded, or after a stale report.
constexpr Milliseconds fastPollInterval { 12 };
/// Interval while requests wait and no order is in progress, usually since a model to be evicted is still in use.
/// Routers report when that model falls idle, so the engine's reports only confirm it.
constexpr Milliseconds waitingPollInterval { 50 };
/// While a model is being loaded, the interval is the time to or since the expected end of the load divided by this.
constexpr int loadTimeDivisor = 8;
/// On the same VM an answer takes a few milliseconds. An engine that takes longer than this counts as lost.
constexpr Milliseconds reportTimeout { 600 };
/// A report that still arrives may take longer than its timeout. One that takes longer than this counts as lost.
constexpr Milliseconds maxReportTime { 5000 };
constexpr Milliseconds orderTimeout { 1000 };
/// Routers consider an agent lost that is silent for more than two of these intervals.
constexpr Milliseconds publishInterval { 900 };
/// Decisions use a report without reading a new one if it is younger than this.
constexpr Milliseconds maxReportAge { 8 };
/// Model sizes rarely change, and a read that allows data that is seconds old costs a tenth of an exact one.
constexpr Milliseconds profileInterval { 6000 };
constexpr Milliseconds profileRetryInterval { 400 };
constexpr Milliseconds storeTimeout { 1000 };
constexpr Milliseconds minTokenBackoff { 200 };
constexpr Milliseconds maxTokenBackoff { 2000 };
/// Delay before the next order after the engine refused one, didn't answer it, or was busy with an order unknown to
/// this process.
constexpr Milliseconds busyBackoff { 60 };
/// If reports show fewer orders than were accepted for longer than this, the engine has restarted; until then they are
/// considered stale.
constexpr Milliseconds staleReportWindow { 700 };

/// Time for which an order without an answer may still be carried out.
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

/// Digest of the state without the load.
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

/// Coarse digest of the load: a change of the digest is published at once, smaller changes with the next heartbeat. A
/// step of prompt tokens being read is what may delay streams noticeably.
std::string loadDigest(const catalog::EngineState& state)
{
    constexpr std::uint64_t tokenStep = 20000;
    constexpr std::uint64_t readingStep = 6000;
    constexpr std::uint32_t requestStep = 4;
    return std::to_string(state.usedMemory.value() / tokenStep) + '|'
        + std::to_string((state.running + state.queued) / requestStep) + '|' + std::to_string(state.queued) + '|'
        + std::to_string(state.readingTokens.value() / readingStep) + (state.streams > 0 ? "s" : "");
}

/// Returns the decision for an engine that leaves: it loads nothing, and what it has is used no longer.
PlacementDecision withdrawn(const PlacementDecision& decision, const EngineReport& report)
{
    PlacementDecision withdrawn;
    for (const catalog::LoadedModel& held : report.held)
        withdrawn.draining.push_back(held.model);
    withdrawn.expected = decision.expected;
    for (catalog::EngineState::Expected& expected : withdrawn.expected)
        expected.within = catalog::loadImpossible;
    return withdrawn;
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
    const auto retry = [this] { readProfileAfter(profileRetryInterval); };
    framework::runGuarded(
        "a read of the engine's profile",
        [&] {
            context_.profiles.read(Deadline::after(context_.clock.now(), storeTimeout),
                [this, retry, alive = std::weak_ptr<int>(alive_)](const Result<catalog::ConfigurationPointer>& read) {
                    if (!alive.expired())
                        framework::runGuarded(
                            "an engine's profile", [&] { didReadProfile(read); }, retry);
                });
        },
        retry);
}

void EngineController::didReadProfile(const Result<catalog::ConfigurationPointer>& read)
{
    if (read.has_value() && read.value() && (!configuration_ || read.value()->version >= configuration_->version)) {
        configuration_ = read.value();
        const catalog::Service* const service = configuration_->find(settings_.service);
        profile_ = service && service->engine ? &*service->engine : nullptr;
    }
    readProfileAfter(profile_ ? profileInterval : profileRetryInterval);
}

void EngineController::readProfileAfter(Milliseconds pause)
{
    profileTimer_ = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { readProfile(); });
}

/// Replaces the fencing token by a newer one. Prevents orders of an earlier agent process, which the network may still
/// deliver, from being carried out: they have a lower token, which the engine refuses.
void EngineController::acquireFencingToken()
{
    if (std::exchange(isAcquiringToken_, true))
        return;
    fencingToken_.reset();
    framework::runGuarded(
        "a read of a fencing token",
        [this] {
            context_.fencingTokens.next(Deadline::after(context_.clock.now(), storeTimeout),
                [this, alive = std::weak_ptr<int>(alive_)](const Result<framework::FencingToken>& taken) {
                    if (!alive.expired())
                        didAcquireFencingToken(taken);
                });
        },
        [this] {
            isAcquiringToken_ = false;
            acquireFencingTokenAfter(tokenBackoff_.next());
        });
}

void EngineController::didAcquireFencingToken(const Result<framework::FencingToken>& taken)
{
    isAcquiringToken_ = false;
    if (taken.has_value()) {
        fencingToken_ = taken.value();
        tokenBackoff_.reset();
        logDecision(LogLine("fence_taken").number("fence", fencingToken_->value()));
        return;
    }
    acquireFencingTokenAfter(tokenBackoff_.next(taken.error().retryAfter));
    logDecision(LogLine("fence_not_taken").text("cause", describe(taken.error())));
}

void EngineController::acquireFencingTokenAfter(Milliseconds pause)
{
    tokenTimer_
        = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { acquireFencingToken(); });
}

void EngineController::setDemand(
    const framework::VmName& router, const catalog::InstanceId& instance, catalog::DemandList demand)
{
    if (!instance.value().empty() && instance != instance_ && instance != rejectedInstance_) {
        logDecision(LogLine("engine_instance").text("instance", instance.value()).text("router", router.value()));
        // What the engine said before its first instance was named is about that instance.
        if (!instance_.value().empty())
            restsUntil_ = Deadline();
        instance_ = instance;
    }
    demand_.set(router, std::move(demand), context_.clock.now());
    // Decides at once if the last report is recent, otherwise when the next one arrives.
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
    if (!restsUntil_.hasPassed(context_.clock.now()))
        return pollAfter(restsUntil_.remaining(context_.clock.now()));
    isReporting_ = true;
    reportAskedAt_ = context_.clock.now();
    pollTimer_ = context_.control.runAt(
        Deadline::after(context_.clock.now(), maxReportTime), [this] { runGuarded([this] { didLoseReport(); }); });
    runGuarded([this] {
        context_.engine.report(Deadline::after(context_.clock.now(), reportTimeout),
            [this, alive = std::weak_ptr<int>(alive_)](
                Result<EngineReport> report, const notices::ServerNotice& notice) {
                if (!alive.expired())
                    runGuarded([&] { didReport(std::move(report), notice); });
            });
    });
}

/// Polls anew after an exception, as if the engine hadn't answered: without a next poll, it would get no order and
/// nothing would be published any more.
template <typename Action> void EngineController::runGuarded(const Action& action)
{
    framework::runGuarded("a step of the engine's controller", action, [this] {
        isReporting_ = false;
        report_.reset();
        if (!isOrdering_)
            pollAfter(idlePollInterval);
    });
}

void EngineController::pollAfter(Milliseconds pause)
{
    pollTimer_ = context_.control.runAt(Deadline::after(context_.clock.now(), pause), [this] { poll(); });
}

void EngineController::didLoseReport()
{
    didReport(framework::Error { framework::ErrorCode::PlatformUnavailable, "read engine report",
                  settings_.engine.value(), "no report in time" },
        {});
}

void EngineController::didReport(Result<EngineReport> report, const notices::ServerNotice& notice)
{
    isReporting_ = false;
    noteRest(notice);
    if (report.has_error()) {
        noteLeaving(isLeaving_ || notice.isLeaving);
        if (!std::exchange(isEngineLost_, true))
            logDecision(LogLine("engine_lost").text("cause", describe(report.error())));
        // Without a report nothing is published, and routers fall back on the platform's list.
        report_.reset();
        return pollAfter(idlePollInterval);
    }
    if (std::exchange(isEngineLost_, false))
        logDecision(LogLine("engine_regained"));
    const std::optional<catalog::StartTime> startedBefore = started_;
    noteRestart(report.value());
    noteLimit(report.value());
    // Answers on different connections overtake each other, so one without the notice may be older. Without a start
    // time it is taken for the engine's next run.
    const bool isKnownRun = report.value().started && report.value().started == startedBefore;
    noteLeaving(notice.isLeaving || (isLeaving_ && isKnownRun));
    if (report.value().orders < acceptedOrders_)
        return pollAfter(fastPollInterval);
    acceptedOrders_ = report.value().orders;
    report_ = std::move(report.value());
    reportedAt_ = context_.clock.now();
    decide();
    if (!isOrdering_)
        pollAfter(pollInterval());
}

/// An engine may name its limit in answers to requests alone. So a report without one only ends a limit that reports
/// have named.
void EngineController::noteLimit(const EngineReport& report)
{
    const catalog::UpstreamRun run { instance_, report.started };
    if (instance_.value().empty() || (!report.limit.rate && (report.limit.isPresent || limitedRun_ != run)))
        return;
    const framework::SteadyTime now = context_.clock.now();
    limitedRun_ = report.limit.rate ? std::optional(run) : std::nullopt;
    context_.didReadLimit(
        { ratelimits::serverRunKey(run), report.limit.rate, report.limit.rate ? now : reportAskedAt_, now });
}

void EngineController::noteLeaving(bool isLeaving)
{
    if (std::exchange(isLeaving_, isLeaving) == isLeaving)
        return;
    logDecision(LogLine(isLeaving ? "engine_leaving" : "engine_staying").text("instance", instance_.value()));
}

void EngineController::noteRest(const notices::ServerNotice& notice)
{
    if (!notice.rest)
        return;
    const Deadline until = Deadline::after(context_.clock.now(), *notice.rest);
    if (until <= restsUntil_)
        return;
    restsUntil_ = until;
    logDecision(LogLine("engine_rest").text("instance", instance_.value()).number("rest_ms", notice.rest->count()));
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

/// Discards what is known about the engine's former run. Prevents an unanswered order to the former run from being
/// carried out by the new one: a restart clears the engine's highest fencing token, and its order count reaches the
/// expected one again. If the first order to the new run carries a newer token, the engine refuses the old order.
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
    restsUntil_ = Deadline();
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

/// Returns short intervals around the time at which the load should end, longer ones well before and after it.
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
    PlacementDecision decision = planner_.decide(input(demand));
    if (isLeaving_)
        decision = withdrawn(decision, *report_);
    publish(decision, demand);
    if (decision.order && canOrder())
        sendOrder(*decision.order, decision.reason);
}

void EngineController::sendOrder(const Order& order, const std::string& reason)
{
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
    isOrdering_ = true;
    pollTimer_.reset();
    framework::runGuarded(
        "an order to the engine",
        [&] {
            context_.engine.order(order, preconditions, Deadline::after(context_.clock.now(), orderTimeout),
                [this, alive = std::weak_ptr<int>(alive_), order](const OrderAnswer& answer) {
                    if (!alive.expired())
                        runGuarded([&] { didOrder(order, answer); });
                });
        },
        // The order may have been sent.
        [&] { runGuarded([&] {
                  didOrder(order, { OrderOutcome::Unknown, {}, "exception", {} });
              }); });
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
    if (answer.outcome == OrderOutcome::OtherInstance)
        restsUntil_ = Deadline();
    noteRest(answer.notice);
    noteLeaving(answer.notice.isLeaving || (isLeaving_ && answer.outcome != OrderOutcome::OtherInstance));
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
        // The order may still arrive many seconds later. The next one carries the same expected count, so that the
        // engine accepts at most one of the two.
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
    state.streams = report_->streams;
    state.readingTokens = report_->readingTokens;
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
    // Expected load times change without a change of the digest, so a state with any of them is published in full.
    if (isSameState && state.expected.empty())
        context_.publishLoad(catalog::loadOf(state));
    else
        context_.publish(state);
}

} // namespace lagoon::engines
