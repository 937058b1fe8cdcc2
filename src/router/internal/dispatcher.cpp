#include "router/internal/dispatcher.h"

#include "framework/logging.h"
#include "framework/types/error.h"
#include "quarantine/evidencewire.h"
#include "quarantine/fingerprinting.h"
#include "router/internal/targets.h"

#include <algorithm>
#include <utility>

namespace lagoon::router {

using callers::CallerRequest;
using callers::ICallerAnswer;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::VmName;

namespace {

constexpr Milliseconds retryAfterNoReplica { 2000 };
constexpr Milliseconds retryAfterBusy { 1000 };
/// A refusal is sent this long before the request's deadline, so that it reaches the caller in time.
constexpr Milliseconds answerMargin { 20 };
/// Time for which a draining agent is excluded from selection.
constexpr Milliseconds drainingAvoidance { 5000 };
/// Another router can serve at once a request that this router didn't start before its shutdown.
constexpr Milliseconds retryAfterShutdown { 1000 };
constexpr Milliseconds maxBundleWait { 3000 };
constexpr Milliseconds bundlePollInterval { 100 };
/// How often held requests are looked at without news about their copies.
constexpr Milliseconds heldInterval { 250 };

/// Whether the replica is healthy, but can't serve the request in time.
bool isBusy(const Error& error)
{
    return error.code == ErrorCode::TooManyWaiting || error.code == ErrorCode::DeadlineHopeless;
}

/// Whether a retry after this error is exempt from the retry budget. A stale placement costs its agent nothing and is
/// removed with the first refusal, and a draining agent is excluded from selection from then on, so neither can
/// multiply an overload. Otherwise models that are often loaded and unloaded, or the queue of a single draining agent,
/// would exhaust the budget, and requests would be refused needlessly.
bool isExemptFromRetryBudget(const Error& error)
{
    const bool isLeaving = error.code == ErrorCode::Draining || error.code == ErrorCode::ShuttingDown;
    return error.code == ErrorCode::NotLoaded || (isLeaving && error.execution == Execution::NotRun);
}

Error notStartedBeforeShutdown()
{
    return Error { ErrorCode::ShuttingDown, "wait for replica", "",
        "this router ends before the request could be served", Execution::NotRun, retryAfterShutdown };
}

const char* reasonText(const Error& error) { return framework::errorCodeText(error.code).data(); }

} // namespace

Dispatcher::Dispatcher(const Context& context)
    : context_(context)
    , retryBudget_(context.settings.retryShare, context.settings.retryReserve)
    , quarantine_(std::make_shared<quarantine::RequestQuarantine>(
          quarantine::RequestQuarantine::Context { context.clock, context.metrics, [this] { postRouteHeld(); },
              [this](Deadline at) { routeHeldAt(at); },
              [this](const quarantine::EvidenceUpdate& update) { context_.shareEvidence(update); },
              [](const framework::LogLine& line) { framework::logInfo("router", line.json()); } },
          context.quarantine))
{
}

void Dispatcher::setWakes(Wakes& wakes) { wakes_ = &wakes; }

void Dispatcher::setReplicaChoice(std::unique_ptr<policy::IReplicaChoice> choice)
{
    replicaChoice_ = std::move(choice);
}

void Dispatcher::accept(CallerRequest request, std::shared_ptr<ICallerAnswer> answer)
{
    auto shared = std::make_shared<CallerRequest>(std::move(request));
    context_.control.post([this, shared, answer = std::move(answer)] { admit(std::move(*shared), answer); });
}

void Dispatcher::admit(CallerRequest request, std::shared_ptr<ICallerAnswer> answer)
{
    const RequestNumber number(nextNumber_++);
    Request& entry = requests_[number];
    entry.request = std::move(request);
    entry.answer = std::move(answer);
    entry.fingerprint = quarantine::fingerprintOf({ entry.request.method,
        entry.request.target.service.value() + entry.request.path, entry.request.caller, entry.request.body });
    entry.answer->onCallerGone([this, number] { context_.control.post([this, number] { callerGone(number); }); });
    entry.deadlineTimer = context_.control.runAt(
        Deadline(entry.request.deadline.at() - answerMargin), [this, number] { deadlinePassed(number); });
    retryBudget_.earn();
    if (!mayStart())
        refuse(number, notStartedBeforeShutdown());
    else if (context_.keys && entry.request.idempotencyKey && !entry.request.isRepeatable)
        claimKey(number, entry);
    else
        route(number);
}

void Dispatcher::claimKey(RequestNumber number, const Request& entry)
{
    context_.keys->claim(entry.request, [this, number](const framework::Result<ClaimedKey>& key) {
        const auto found = requests_.find(number);
        if (found == requests_.end()) {
            // The request's deadline has passed or its caller has disconnected meanwhile, so it will never run.
            if (key.has_value())
                context_.keys->release(key.value());
            return;
        }
        if (key.has_error())
            return refuse(number, key.error());
        found->second.key = key.value();
        route(number);
    });
}

void Dispatcher::route(RequestNumber number)
{
    Request& entry = requests_.at(number);
    if (entry.request.deadline.hasPassed(context_.clock.now()))
        return refuse(number, Error { ErrorCode::DeadlinePassed, "route", "", "" });
    if (!mayStart())
        return refuse(number, notStartedBeforeShutdown());
    if (!mayBeDispatched(number, entry))
        return;
    const std::vector<VmName> vms = forTrial(entry, candidates(entry));
    if (!vms.empty())
        return dispatch(number, entry, choose(entry, vms));
    if (entry.request.target.isService()) {
        const Error noCapacity { ErrorCode::NoCapacity, "route", entry.request.target.service.value(),
            "no live upstream", Execution::NotRun, retryAfterNoReplica };
        return refuse(number, entry.lastError.value_or(noCapacity));
    }
    waitForReplica(number, entry);
}

/// Refuses a quarantined request, and holds back a suspected one while a copy of it is being tried.
bool Dispatcher::mayBeDispatched(RequestNumber number, const Request& entry)
{
    switch (quarantine_->admit(entry.fingerprint)) {
    case quarantine::Admission::Free:
    case quarantine::Admission::Trial:
        return true;
    case quarantine::Admission::Wait:
        hold(number);
        return false;
    case quarantine::Admission::Quarantined:
        break;
    }
    const quarantine::Standing* const known = quarantine_->standing(entry.fingerprint);
    const Milliseconds left = known ? known->until.remaining(context_.clock.now()) : Milliseconds(0);
    context_.metrics.count("lagoon_quarantine_refusals_total");
    refuse(number,
        Error { ErrorCode::Quarantined, "route", "", "copies of it crashed their servers: " + entry.fingerprint.text(),
            Execution::NotRun, std::max(retryAfterBusy, left) });
    return false;
}

void Dispatcher::hold(RequestNumber number)
{
    held_.insert(number);
    routeHeldAt(Deadline::after(context_.clock.now(), heldInterval));
}

void Dispatcher::routeHeldAt(Deadline at)
{
    if (heldTimer_ && heldTimerAt_ <= at)
        return;
    heldTimerAt_ = at;
    heldTimer_ = context_.control.runAt(at, [this] {
        heldTimer_.reset();
        routeHeld();
    });
}

/// Posted because the change may come from a request that is being handled.
void Dispatcher::postRouteHeld()
{
    if (std::exchange(isRouteHeldPosted_, true))
        return;
    context_.control.post([this] {
        isRouteHeldPosted_ = false;
        quarantine_->refresh();
        routeHeld();
    });
}

void Dispatcher::routeHeld()
{
    for (const RequestNumber number : std::exchange(held_, {})) {
        if (requests_.contains(number))
            route(number);
    }
}

/// Returns the VMs at which a suspected request may be tried. Prefers those without another suspect, so that a crash
/// points to one of them only.
std::vector<VmName> Dispatcher::forTrial(const Request& entry, const std::vector<VmName>& vms)
{
    if (!quarantine_->standing(entry.fingerprint))
        return vms;
    std::vector<VmName> apart = vms;
    std::erase_if(apart, [&](const VmName& vm) {
        return quarantine_->hasOtherTrial(quarantine::ServerRunId(vm.value()), entry.fingerprint);
    });
    return apart.empty() ? vms : apart;
}

std::vector<VmName> Dispatcher::candidates(const Request& entry) const
{
    std::vector<VmName> vms;
    const callers::RequestTarget& target = entry.request.target;
    if (target.isService()) {
        const bundle::BundlePointer bundle = context_.bundle();
        const bundle::Service* service = bundle ? bundle->service(target.service) : nullptr;
        if (!service)
            return vms;
        vms = context_.directory.upstreams(service->pools, context_.site);
        // If this site has no usable upstream for the service, upstreams of another site serve the request.
        for (const framework::SiteName& site : context_.directory.sites()) {
            if (vms.empty())
                vms = context_.directory.upstreams(service->pools, site);
        }
    } else {
        vms = context_.placements.vms(target);
    }
    std::erase_if(vms, [&](const VmName& vm) { return entry.failed.contains(vm) || !context_.directory.isUsable(vm); });
    // Replicas at other sites serve requests only until this site has a replica.
    if (std::any_of(vms.begin(), vms.end(), [this](const VmName& vm) { return isAtOwnSite(vm); }))
        std::erase_if(vms, [this](const VmName& vm) { return !isAtOwnSite(vm); });
    return vms;
}

bool Dispatcher::isAtOwnSite(const VmName& vm) const
{
    const objectstore::VmEntry* entry = context_.directory.find(vm);
    return entry && entry->site == context_.site;
}

VmName Dispatcher::choose(const Request& entry, const std::vector<VmName>& vms)
{
    std::vector<policy::ReplicaView> replicas;
    for (const VmName& vm : vms) {
        policy::ReplicaView view;
        view.vm = vm;
        if (const auto session = context_.sessions.existing(vm)) {
            view.ownInFlight = static_cast<std::uint32_t>(session->inFlight());
            view.reportedRunning = session->agentLoad().running;
            view.reportedWaiting = session->agentLoad().waiting;
            view.firstByteSeconds = session->firstByteSeconds();
            view.lastAnswer = session->lastAnswer();
            view.isSuspect = session->isSuspect();
        }
        replicas.push_back(view);
    }
    const auto chosen = replicaChoice_->choose(replicas, entry.request.prefixHash, context_.clock.now());
    return vms[chosen.value_or(0)];
}

void Dispatcher::waitForReplica(RequestNumber number, Request& entry)
{
    if (wakes_->waiting() >= context_.settings.waitingRequests) {
        return refuse(
            number, Error { ErrorCode::TooManyWaiting, "wait for replica", "", "", Execution::NotRun, retryAfterBusy });
    }
    const std::optional<SiteTarget> where = nextSite(entry);
    if (!where) {
        const Error noCapacity { ErrorCode::NoCapacity, "wait for replica", "", "the bundle decides none at any site",
            Execution::NotRun, retryAfterNoReplica };
        return refuse(number, entry.lastError.value_or(noCapacity));
    }
    // All replicas that the bundle decides are loaded and busy: no further load will be started, and the request would
    // wait until its deadline in vain.
    if (entry.lastError && isBusy(*entry.lastError)
        && context_.placements.vms(where->target).size() >= replicaCap(*where)) {
        entry.refusedSites.insert(where->site);
        return waitForReplica(number, entry);
    }
    entry.waitsFor = *where;
    entry.coldSince = entry.coldSince.value_or(context_.clock.now());
    const auto desired = static_cast<std::uint32_t>(context_.placements.vms(where->target).size() + 1);
    const WaitingRequest waiting { entry.request.deadline, entry.request.priority };
    wakes_->startWaiting(*where, number, waiting, std::min(desired, std::max(1U, replicaCap(*where))));
}

/// Returns this router's site if possible, otherwise another site at which the bundle decides replicas: while a model
/// moves between sites, both serve it. Sites that refused the request are skipped. Returns std::nullopt if no site is
/// left.
std::optional<SiteTarget> Dispatcher::nextSite(const Request& entry) const
{
    const SiteTarget own { entry.request.target, context_.site };
    if (!entry.refusedSites.contains(own.site) && replicaCap(own) > 0)
        return own;
    for (const framework::SiteName& site : context_.directory.sites()) {
        const SiteTarget other { entry.request.target, site };
        if (!entry.refusedSites.contains(site) && replicaCap(other) > 0)
            return other;
    }
    return std::nullopt;
}

std::uint32_t Dispatcher::replicaCap(const SiteTarget& where) const
{
    const bundle::BundlePointer bundle = context_.bundle();
    if (!bundle)
        return 0;
    return bundle->decidedReplicas(where.target.model, where.target.adapter, where.site);
}

void Dispatcher::dispatch(RequestNumber number, Request& entry, const VmName& vm)
{
    const auto session = context_.sessions.session(vm);
    entry.waitsFor.reset();
    ++entry.attempts;
    entry.agent = vm;
    entry.session = session;
    entry.stream = std::make_shared<AnswerStream>(entry.answer, entry.attempts);
    context_.metrics.count("lagoon_dispatches_total");
    if (entry.coldSince) {
        const std::chrono::duration<double> waited = context_.clock.now() - *entry.coldSince;
        context_.metrics.observeSeconds("lagoon_cold_start_seconds", waited.count());
        entry.coldSince.reset();
    }
    if (quarantine_->standing(entry.fingerprint))
        entry.trial = quarantine_->beginTrial(entry.fingerprint, quarantine::ServerRunId(vm.value()));
    entry.sequence = session->dispatch(makeDispatch(entry), entry.request.deadline, entry.stream,
        [this, number, vm](const DispatchOutcome& outcome) { handleOutcome(number, vm, outcome); });
    scaleUpIfBusy(entry, static_cast<std::uint32_t>(session->inFlight()));
}

wire::fb::DispatchT Dispatcher::makeDispatch(const Request& entry) const
{
    const CallerRequest& request = entry.request;
    wire::fb::DispatchT frame;
    frame.target = std::make_unique<wire::fb::TargetT>(toWire(request.target));
    frame.request_name = request.name.value();
    frame.attempt = entry.attempts;
    frame.method = request.method;
    frame.path = request.path;
    for (const auto& [name, value] : request.headers) {
        auto header = std::make_unique<wire::fb::HeaderT>();
        header->name = name;
        header->value = value;
        frame.headers.push_back(std::move(header));
    }
    frame.body.assign(request.body.begin(), request.body.end());
    frame.is_repeatable = request.isRepeatable;
    frame.fingerprint = quarantine::bytesOf(entry.fingerprint);
    frame.priority = request.priority;
    const bundle::BundlePointer bundle = context_.bundle();
    frame.bundle_version = bundle ? bundle->version.value() : 0;
    return frame;
}

void Dispatcher::scaleUpIfBusy(const Request& entry, std::uint32_t inFlight)
{
    const callers::RequestTarget& target = entry.request.target;
    if (target.isService())
        return;
    const SiteTarget own { target, context_.site };
    const std::vector<VmName> vms = context_.placements.vms(target);
    const auto known = static_cast<std::uint32_t>(
        std::count_if(vms.begin(), vms.end(), [this](const VmName& vm) { return isAtOwnSite(vm); }));
    // Without a replica at this site, another site serves its traffic. The requested replica warms up the new site
    // while a model moves between sites.
    const bool isMoreNeeded = known == 0 || inFlight >= context_.settings.scaleUpInFlight;
    if (isMoreNeeded && known < replicaCap(own))
        wakes_->requestScaleUp(own, known + 1, entry.request.deadline);
}

void Dispatcher::handlePlacements(
    const SiteTarget& where, const std::vector<VmName>& vms, const std::set<RequestNumber>& requests)
{
    for (const VmName& vm : vms)
        context_.placements.add(where.target, vm);
    for (const RequestNumber number : requests) {
        const auto entry = requests_.find(number);
        if (entry == requests_.end() || !entry->second.waitsFor)
            continue;
        // If all agents that serve the target have failed this request before, they may be tried again, since they have
        // just reported that they serve it.
        if (candidates(entry->second).empty())
            entry->second.failed.clear();
        if (candidates(entry->second).empty())
            continue;
        wakes_->stopWaiting(where, number);
        route(number);
    }
}

void Dispatcher::handleRefusal(
    const Error& error, framework::BundleVersion homeVersion, const std::set<RequestNumber>& requests)
{
    for (const RequestNumber number : requests) {
        const auto found = requests_.find(number);
        if (found == requests_.end() || !found->second.waitsFor)
            continue;
        Request& entry = found->second;
        const SiteTarget where = *entry.waitsFor;
        entry.waitsFor.reset();
        wakes_->stopWaiting(where, number);
        if (awaitBundle(number, entry, homeVersion))
            continue;
        entry.refusedSites.insert(where.site);
        entry.lastError = error;
        route(number);
    }
}

/// Delays a request that a home refused by a newer bundle, for example because the target has moved to a site that this
/// router's bundle doesn't name yet. The newer bundle will be in force here shortly, and the request is then routed by
/// it. Returns false if the home's bundle isn't newer or the time limit for the wait has passed.
bool Dispatcher::awaitBundle(RequestNumber number, Request& entry, framework::BundleVersion homeVersion)
{
    const auto now = context_.clock.now();
    const bundle::BundlePointer bundle = context_.bundle();
    if (!bundle || homeVersion <= bundle->version)
        return false;
    if (!entry.bundleWaitDeadline)
        entry.bundleWaitDeadline = Deadline::after(now, maxBundleWait);
    if (entry.bundleWaitDeadline->hasPassed(now))
        return false;
    context_.metrics.count("lagoon_bundles_awaited_total");
    entry.bundleTimer
        = context_.control.runAt(Deadline::after(now, bundlePollInterval), [this, number] { route(number); });
    return true;
}

void Dispatcher::handleForecast(const WakeReply& progress, const std::set<RequestNumber>& requests)
{
    for (const RequestNumber number : requests) {
        const auto entry = requests_.find(number);
        if (entry == requests_.end() || !entry->second.waitsFor)
            continue;
        if (shutdownDeadlines_ && *progress.soonestAt > shutdownDeadlines_->startBy) {
            refuse(number, notStartedBeforeShutdown());
            continue;
        }
        if (*progress.soonestAt <= entry->second.request.deadline)
            continue;
        refuse(number,
            Error { ErrorCode::DeadlineHopeless, "wait for replica", entry->second.waitsFor->site.value(),
                "the load will take longer", Execution::NotRun, progress.retryAfter });
    }
}

void Dispatcher::handleOutcome(RequestNumber number, const VmName& vm, const DispatchOutcome& outcome)
{
    const auto found = requests_.find(number);
    if (found == requests_.end())
        return;
    Request& entry = found->second;
    entry.session.reset();
    entry.trial.reset();
    const bool hasBegun = entry.stream->detach();
    if (outcome.has_value()) {
        quarantine_->didServe(entry.fingerprint, quarantine::ServerRunId(vm.value()));
        entry.answer->finish();
        return eraseRequest(number);
    }
    const Error& error = outcome.error();
    entry.lastError = error;
    if (hasBegun) {
        context_.metrics.count("lagoon_broken_answers_total", { { "reason", reasonText(error) } });
        entry.answer->breakOff(error);
        return eraseRequest(number);
    }
    if (error.execution == Execution::NotRun)
        return handleNotRun(number, entry, vm, error);
    // The request may have run, so it is retried only if it is repeatable.
    if (!entry.request.isRepeatable || error.code == ErrorCode::DeadlinePassed)
        return refuse(number, error);
    entry.mayHaveRun = true;
    entry.failed.insert(vm);
    retry(number, entry, error);
}

void Dispatcher::handleNotRun(RequestNumber number, Request& entry, const VmName& vm, const Error& error)
{
    switch (error.code) {
    case ErrorCode::DeadlinePassed:
    case ErrorCode::CallerGone:
    case ErrorCode::BadRequest:
    case ErrorCode::TooLarge:
        return refuse(number, error);
    case ErrorCode::NotLoaded:
        context_.placements.remove(entry.request.target, vm);
        break;
    case ErrorCode::Draining:
    case ErrorCode::ShuttingDown:
        avoidDraining(vm);
        break;
    default:
        entry.failed.insert(vm);
        break;
    }
    retry(number, entry, error);
}

/// Excludes a draining agent from selection, even if the platform's list shows it as live. The exclusion is temporary:
/// a new process may start on the VM without a change in the list, and an agent that still drains refuses again.
void Dispatcher::avoidDraining(const VmName& vm)
{
    context_.placements.removeVm(vm);
    context_.directory.setDraining(vm);
    drainingTimers_[vm] = context_.control.runAt(
        Deadline::after(context_.clock.now(), drainingAvoidance), [this, vm] { context_.directory.clearDraining(vm); });
}

void Dispatcher::retry(RequestNumber number, Request& entry, const Error& error)
{
    if (quarantine_->isQuarantined(entry.fingerprint))
        return route(number);
    if (entry.attempts >= context_.settings.attempts)
        return refuse(number, error);
    if (!isExemptFromRetryBudget(error) && !retryBudget_.spend()) {
        Error spent = error;
        spent.detail = "retry budget spent after " + std::string(framework::errorCodeText(error.code));
        spent.code = ErrorCode::RetryBudgetSpent;
        spent.retryAfter = std::max(error.retryAfter.value_or(retryAfterBusy), retryAfterBusy);
        return refuse(number, spent);
    }
    context_.metrics.count("lagoon_retries_total", { { "reason", reasonText(error) } });
    route(number);
}

void Dispatcher::deadlinePassed(RequestNumber number)
{
    if (requests_.contains(number))
        giveUp(number, ErrorCode::DeadlinePassed, retryAfterNoReplica);
}

/// Ends a request that has no complete answer yet. A request that was never sent to its agent is reported as not run.
void Dispatcher::giveUp(RequestNumber number, ErrorCode code, Milliseconds retryAfter)
{
    Request& entry = requests_.at(number);
    Error why { code, "wait for replica", "", "no replica in time", Execution::NotRun, retryAfter };
    if (entry.session) {
        const bool wasSent = entry.session->wasSent(entry.sequence);
        why = Error { code, "await answer", entry.agent.value(), "no whole answer in time",
            wasSent ? Execution::Unknown : Execution::NotRun, retryAfter };
        entry.session->cancel(entry.sequence);
        if (entry.stream->detach()) {
            entry.answer->breakOff(why);
            return eraseRequest(number);
        }
    }
    refuse(number, why);
}

/// Prevents the process from being killed while requests still wait: a load may take longer than the grace period, and
/// the request's deadline may be even later, so that its connection would be closed without an answer. Requests that
/// can't be started in time are refused as soon as that is known.
void Dispatcher::beginShutdown(const framework::ShutdownDeadlines& deadlines)
{
    shutdownDeadlines_ = deadlines;
    startByTimer_ = context_.control.runAt(deadlines.startBy, [this] { refuseUnstarted(); });
    answerByTimer_ = context_.control.runAt(deadlines.answerBy, [this] { giveUpAll(); });
    for (const RequestNumber number : requestNumbers()) {
        const auto& waitsFor = requests_.at(number).waitsFor;
        if (const auto progress = waitsFor ? wakes_->progress(*waitsFor) : std::nullopt)
            handleForecast(*progress, { number });
    }
}

bool Dispatcher::mayStart() const
{
    return !shutdownDeadlines_ || !shutdownDeadlines_->startBy.hasPassed(context_.clock.now());
}

bool Dispatcher::wasSentToAgent(const Request& entry) const
{
    return entry.session && entry.session->wasSent(entry.sequence);
}

void Dispatcher::refuseUnstarted()
{
    for (const RequestNumber number : requestNumbers()) {
        Request& entry = requests_.at(number);
        if (wasSentToAgent(entry))
            continue;
        if (entry.session)
            entry.session->cancel(entry.sequence);
        refuse(number, notStartedBeforeShutdown());
    }
}

void Dispatcher::giveUpAll()
{
    for (const RequestNumber number : requestNumbers())
        giveUp(number, ErrorCode::ShuttingDown, retryAfterShutdown);
}

/// Returns a copy, since answers and refusals remove requests from `requests_` during iteration.
std::vector<RequestNumber> Dispatcher::requestNumbers() const
{
    std::vector<RequestNumber> requestNumbers;
    for (const auto& [number, entry] : requests_)
        requestNumbers.push_back(number);
    return requestNumbers;
}

void Dispatcher::callerGone(RequestNumber number)
{
    const auto entry = requests_.find(number);
    if (entry == requests_.end())
        return;
    context_.metrics.count("lagoon_callers_gone_total");
    if (entry->second.session) {
        entry->second.stream->detach();
        entry->second.session->cancel(entry->second.sequence);
    }
    eraseRequest(number);
}

/// Refuses the request. The refusal says "not run" only if none of the request's attempts may have run.
void Dispatcher::refuse(RequestNumber number, Error error)
{
    Request& entry = requests_.at(number);
    if (entry.mayHaveRun)
        error.execution = Execution::Unknown;
    if (entry.stream)
        entry.stream->detach();
    if (entry.key && error.execution == Execution::NotRun)
        context_.keys->release(*entry.key);
    entry.answer->refuse(error, entry.attempts);
    eraseRequest(number);
}

void Dispatcher::eraseRequest(RequestNumber number)
{
    const auto entry = requests_.find(number);
    if (entry->second.waitsFor)
        wakes_->stopWaiting(*entry->second.waitsFor, number);
    requests_.erase(entry);
}

} // namespace lagoon::router
