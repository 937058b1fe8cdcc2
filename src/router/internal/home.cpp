#include "router/internal/home.h"

#include "framework/randomid.h"
#include "policy/rendezvous.h"
#include "router/internal/targets.h"

#include <algorithm>
#include <utility>

namespace lagoon::router {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Milliseconds;
using framework::VmName;

namespace {

constexpr std::uint32_t maxLoadAttempts = 3;
constexpr Milliseconds retryAfterNoCapacity { 2000 };
constexpr Milliseconds retryInterval { 100 };
constexpr Milliseconds maxRetryPeriod { 3000 };

policy::LoadBid toPolicy(const VmName& vm, const wire::fb::BidT& bid)
{
    policy::LoadBid converted;
    converted.vm = vm;
    converted.canLoad = bid.can_load;
    converted.refusal = static_cast<ErrorCode>(bid.refusal);
    converted.freeMemory = framework::MebiBytes(bid.free_mib);
    converted.evictedMemory = framework::MebiBytes(bid.evict_mib);
    converted.victimIdle = Milliseconds(bid.victim_idle_ms);
    // Values above 2, the value of `Remote`, count as `Remote`.
    converted.checkpoint = static_cast<policy::CheckpointLocation>(std::min<std::uint8_t>(bid.checkpoint, 2));
    converted.expectedLoad = Milliseconds(bid.expected_load_ms);
    converted.running = bid.running;
    return converted;
}

} // namespace

Home::Home(const Context& context)
    : context_(context)
{
}

void Home::setLoadPlacement(std::unique_ptr<policy::ILoadPlacement> placement) { placement_ = std::move(placement); }

void Home::wake(const VmName& sender, const WakeOrder& order, WakeReplyHandler reply)
{
    context_.metrics.count("lagoon_wakes_total");
    const auto running = searches_.find(order.where);
    if (running != searches_.end()) {
        Search& search = running->second;
        search.awaitedBundle = std::max(search.awaitedBundle, newerBundle(order.bundleVersion));
        search.order.latest = std::max(search.order.latest, order.latest);
        search.order.earliest = std::min(search.order.earliest, order.earliest);
        search.order.desiredReplicas = std::max(search.order.desiredReplicas, order.desiredReplicas);
        search.order.waiters = std::max(search.order.waiters, order.waiters);
        search.order.priority = std::max(search.order.priority, order.priority);
        context_.gate.setDemand(order.where, { search.order.earliest, search.order.waiters, search.order.priority });
        if (search.isLoading)
            reply(progress(search));
        search.replies[sender] = std::move(reply);
        return;
    }
    Search search;
    search.number = nextNumber_++;
    search.order = order;
    search.replies.emplace(sender, std::move(reply));
    search.awaitedBundle = newerBundle(order.bundleVersion);
    begin(searches_.emplace(order.where, std::move(search)).first->second);
}

/// Returns the version if it is newer than this router's bundle, otherwise 0 (no version).
framework::BundleVersion Home::newerBundle(framework::BundleVersion version) const
{
    return version > bundleVersion() ? version : framework::BundleVersion();
}

framework::BundleVersion Home::bundleVersion() const
{
    const bundle::BundlePointer bundle = context_.bundle();
    return bundle ? bundle->version : framework::BundleVersion();
}

void Home::begin(Search& search)
{
    const SiteTarget where = search.order.where;
    if (awaitBundle(where))
        return;
    if (replicaCap(where) == 0) {
        fail(
            where, Error { ErrorCode::NoCapacity, "find replica", where.site.value(), "the bundle decides none here" });
        return;
    }
    const std::vector<VmName> first = nextCandidates(search);
    if (first.empty()) {
        fail(where,
            Error { ErrorCode::NoCapacity, "find replica", where.site.value(), "no live upstream",
                framework::Execution::NotRun, retryAfterNoCapacity });
        return;
    }
    requestBids(where, first);
}

/// Returns the agents to ask for bids next: those that this router knows to serve the target, then the next ones in
/// rendezvous order, without those already asked.
std::vector<VmName> Home::nextCandidates(const Search& search) const
{
    const SiteTarget& where = search.order.where;
    std::vector<VmName> next;
    const bundle::BundlePointer bundle = context_.bundle();
    const bundle::Model* model = bundle ? bundle->model(where.target.model) : nullptr;
    if (!model)
        return next;
    const std::vector<VmName> live = context_.directory.upstreams(model->pools, where.site);
    for (const VmName& vm : context_.placements.vms(where.target)) {
        const bool isHere = std::find(live.begin(), live.end(), vm) != live.end();
        if (isHere && !search.asked.contains(vm))
            next.push_back(vm);
    }
    std::size_t added = 0;
    // An adapter is loaded where replicas of its model are, so both use the rendezvous order of the model.
    for (const VmName& vm : policy::rendezvousOrder(where.target.model.value(), live)) {
        if (added >= context_.settings.bids)
            break;
        if (search.asked.contains(vm) || std::find(next.begin(), next.end(), vm) != next.end())
            continue;
        next.push_back(vm);
        ++added;
    }
    return next;
}

void Home::requestBids(const SiteTarget& where, const std::vector<VmName>& vms)
{
    Search& search = searches_.at(where);
    const std::uint64_t number = search.number;
    search.pendingBids += vms.size();
    for (const VmName& vm : vms) {
        search.asked.insert(vm);
        search.candidates.push_back(Candidate { vm, false, false, false, {} });
    }
    search.bidTimer = context_.control.runAt(
        Deadline::after(context_.clock.now(), context_.settings.bidTimeout), [this, where, number] {
            if (find(where, number))
                endBidding(where);
        });
    for (const VmName& vm : vms) {
        const auto session = context_.sessions.session(vm);
        if (!session) {
            handleBid(where, number, vm, Error { ErrorCode::NotFound, "ask for bid", vm.value() });
            continue;
        }
        session->requestBid(toWire(where.target), bundleVersion(),
            [this, where, number, vm](
                const framework::Result<wire::fb::BidT>& bid) { handleBid(where, number, vm, bid); });
    }
}

void Home::handleBid(
    const SiteTarget& where, std::uint64_t number, const VmName& vm, const framework::Result<wire::fb::BidT>& bid)
{
    Search* search = find(where, number);
    if (!search)
        return;
    for (Candidate& candidate : search->candidates) {
        if (candidate.vm != vm || candidate.hasAnswered)
            continue;
        candidate.hasAnswered = true;
        if (bid.has_value()) {
            candidate.isLoaded = bid.value().is_loaded;
            candidate.isLoading = bid.value().is_loading;
            candidate.bid = toPolicy(vm, bid.value());
            search->awaitedBundle
                = std::max(search->awaitedBundle, newerBundle(framework::BundleVersion(bid.value().bundle_version)));
        } else if (search->expectsRestart.contains(vm)) {
            candidate.bid.refusal = ErrorCode::NotReady;
        }
        if (search->pendingBids > 0)
            --search->pendingBids;
    }
    if (search->pendingBids == 0)
        endBidding(where);
}

void Home::endBidding(const SiteTarget& where)
{
    Search& search = searches_.at(where);
    search.bidTimer.reset();
    search.pendingBids = 0;
    // Marks the missing bids as answered, since late bids of this round must not end the next round early.
    for (Candidate& candidate : search.candidates)
        candidate.hasAnswered = true;
    evaluate(where);
}

void Home::evaluate(const SiteTarget& where)
{
    Search& search = searches_.at(where);
    if (search.isLoading || awaitBundle(where))
        return;
    const std::vector<VmName> loaded = loadedVms(search);
    const std::uint32_t enough = std::min(std::max(1U, search.order.desiredReplicas), replicaCap(where));
    if (loaded.size() >= enough)
        return finish(where, WakeReply { true, loaded });
    if (Candidate* loader = chooseLoader(search))
        return load(where, *loader);
    const std::vector<VmName> more = nextCandidates(search);
    if (!more.empty() && search.loadAttempts < maxLoadAttempts)
        return requestBids(where, more);
    if (!loaded.empty())
        return finish(where, WakeReply { true, loaded });
    if (!retryNotReady(where))
        fail(where, search.lastError.value_or(mostSpecificRefusal(search)));
}

/// Returns null if none of the candidates can load the target, or the maximum number of loads has failed.
Home::Candidate* Home::chooseLoader(Search& search) const
{
    // An agent may already be loading the target for another home, or for one that crashed: joins that load.
    for (Candidate& candidate : search.candidates) {
        if (candidate.isLoading)
            return &candidate;
    }
    std::vector<policy::LoadBid> bids;
    std::vector<Candidate*> bidders;
    for (Candidate& candidate : search.candidates) {
        if (candidate.isLoaded || !candidate.bid.canLoad)
            continue;
        bids.push_back(candidate.bid);
        bidders.push_back(&candidate);
    }
    const auto chosen = placement_->choose(bids);
    return chosen && search.loadAttempts < maxLoadAttempts ? bidders[*chosen] : nullptr;
}

/// Returns the most specific reason among the refusals of the candidates: any reason other than `NoCapacity`, if there
/// is one.
Error Home::mostSpecificRefusal(const Search& search) const
{
    ErrorCode code = ErrorCode::NoCapacity;
    for (const Candidate& candidate : search.candidates) {
        if (candidate.bid.refusal != ErrorCode::NoCapacity)
            code = candidate.bid.refusal;
    }
    return Error { code, "find replica", search.order.where.site.value(), "no upstream can load it now",
        framework::Execution::NotRun, retryAfterNoCapacity };
}

/// Schedules another round of bids from the upstreams that aren't ready. An upstream that has just started, or still
/// unloads the model, can load it shortly, so the requests wait instead of being refused. Returns false if there is no
/// such upstream, too many loads have failed or the retry period is over.
bool Home::retryNotReady(const SiteTarget& where)
{
    Search& search = searches_.at(where);
    std::vector<VmName> unready;
    for (const Candidate& candidate : search.candidates) {
        if (!candidate.bid.canLoad && candidate.bid.refusal == ErrorCode::NotReady)
            unready.push_back(candidate.vm);
    }
    if (unready.empty() || search.loadAttempts >= maxLoadAttempts || !mayRetry(search))
        return false;
    retryLater(where, [this, where, unready] {
        std::erase_if(searches_.at(where).candidates, [&](const Candidate& candidate) {
            return std::find(unready.begin(), unready.end(), candidate.vm) != unready.end();
        });
        requestBids(where, unready);
    });
    return true;
}

/// A roll-out lowers replica counts before it moves the bundle head, so a router can see counts of a bundle that it
/// hasn't read yet. That bundle will be in force shortly, possibly with the target at another site, so until then no
/// request is refused for lack of replicas. Restarts the search once the bundle is in force. Returns false if there is
/// nothing to wait for or the retry period is over.
bool Home::awaitBundle(const SiteTarget& where)
{
    Search& search = searches_.at(where);
    if (search.awaitedBundle == framework::BundleVersion())
        return false;
    if (bundleVersion() >= search.awaitedBundle) {
        search.awaitedBundle = framework::BundleVersion();
        search.loadAttempts = 0;
        search.candidates.clear();
        search.asked.clear();
        begin(search);
        return true;
    }
    if (!mayRetry(search))
        return false;
    retryLater(where, [this, where] { evaluate(where); });
    return true;
}

/// Whether the retry period is still running. It is bounded, since during a platform outage agents aren't ready, and
/// bundles can't be read, for a long time.
bool Home::mayRetry(Search& search)
{
    const auto now = context_.clock.now();
    if (!search.retryDeadline)
        search.retryDeadline = Deadline::after(now, maxRetryPeriod);
    return !search.retryDeadline->hasPassed(now);
}

void Home::retryLater(const SiteTarget& where, std::function<void()> action)
{
    Search& search = searches_.at(where);
    const std::uint64_t number = search.number;
    search.bidTimer = context_.control.runAt(
        Deadline::after(context_.clock.now(), retryInterval), [this, where, number, action = std::move(action)] {
            if (find(where, number))
                action();
        });
}

void Home::load(const SiteTarget& where, Candidate& candidate)
{
    Search& search = searches_.at(where);
    search.isLoading = true;
    ++search.loadAttempts;
    candidate.bid.canLoad = false;
    candidate.isLoading = false;
    const LoadDemand demand { search.order.earliest, search.order.waiters, search.order.priority };
    GatedLoad load { where, candidate.bid.checkpoint, {}, demand };
    const bundle::BundlePointer bundle = context_.bundle();
    if (const bundle::Model* model = bundle ? bundle->model(where.target.model) : nullptr)
        load.memory = model->memory;
    context_.gate.enqueue(
        load, [this, where, number = search.number, vm = candidate.vm] { sendLoad(where, number, vm); });
    replyAll(search, progress(search));
}

void Home::sendLoad(const SiteTarget& where, std::uint64_t number, const VmName& vm)
{
    const Search* search = find(where, number);
    const auto session = context_.sessions.session(vm);
    if (!search || !session)
        return handleLoadResult(where, number, vm, Error { ErrorCode::NotFound, "load", vm.value() });
    wire::fb::LoadT order;
    order.target = std::make_unique<wire::fb::TargetT>(toWire(where.target));
    order.waiters = search->order.waiters;
    order.remaining_ms = static_cast<std::uint32_t>(search->order.latest.remaining(context_.clock.now()).count());
    order.bundle_version = bundleVersion().value();
    session->load(std::move(order), [this, where, number, vm](const framework::Result<wire::fb::LoadResultT>& result) {
        handleLoadResult(where, number, vm, result);
    });
}

WakeReply Home::progress(const Search& search) const
{
    const policy::LoadForecast forecast = context_.gate.forecast(search.order.where);
    WakeReply reply;
    reply.placements = loadedVms(search);
    reply.soonestAt = Deadline::after(context_.clock.now(), forecast.soonest);
    reply.retryAfter = policy::retryAfterFor(forecast, framework::randomFraction());
    return reply;
}

void Home::handleLoadResult(const SiteTarget& where, std::uint64_t number, const VmName& vm,
    const framework::Result<wire::fb::LoadResultT>& result)
{
    Search* search = find(where, number);
    if (!search)
        return;
    search->isLoading = false;
    context_.gate.didEnd(where, result.has_value() && result.value().is_loaded);
    if (result.has_value() && result.value().is_loaded) {
        for (Candidate& candidate : search->candidates)
            candidate.isLoaded = candidate.isLoaded || candidate.vm == vm;
        return evaluate(where);
    }
    Error why { ErrorCode::LinkLost, "load", vm.value() };
    if (result.has_error()) {
        why = result.error();
        why.execution = framework::Execution::NotRun;
        expectRestart(*search, vm);
    } else {
        const wire::fb::LoadResultT& refused = result.value();
        why = Error { static_cast<ErrorCode>(refused.code), refused.step, refused.peer, refused.detail };
        if (refused.retry_after_ms > 0)
            why.retryAfter = Milliseconds(refused.retry_after_ms);
    }
    context_.metrics.count(
        "lagoon_load_failures_total", { { "code", std::string(framework::errorCodeText(why.code)) } });
    if (!why.retryAfter)
        why.retryAfter = retryAfterNoCapacity;
    search->lastError = why;
    if (why.code == ErrorCode::NotReady)
        expectRestart(*search, vm);
    if (why.code == ErrorCode::ReplicaCapReached && !search->hasQueriedHolders)
        return queryHolders(where);
    evaluate(where);
}

/// Treats the agent as not ready, since it or its link failed during a load. Its claim and the engine's load continue,
/// and the next process on the VM takes both over shortly. If the requests were refused now, the load would finish with
/// no request waiting for it.
void Home::expectRestart(Search& search, const VmName& vm)
{
    search.expectsRestart.insert(vm);
    for (Candidate& candidate : search.candidates) {
        if (candidate.vm == vm)
            candidate.bid.refusal = ErrorCode::NotReady;
    }
}

/// Reads the holders of the replicas from the platform's replica object. Used when the replica cap is reached by
/// replicas that none of the candidates has.
void Home::queryHolders(const SiteTarget& where)
{
    Search& search = searches_.at(where);
    search.hasQueriedHolders = true;
    const std::uint64_t number = search.number;
    context_.findHolders(where, [this, where, number](const framework::Result<TargetHolders>& holders) {
        Search* search = find(where, number);
        if (!search)
            return;
        if (holders.has_error())
            return evaluate(where);
        search->awaitedBundle = newerBundle(holders.value().bundleVersion);
        context_.observeVersion(holders.value().bundleVersion);
        std::vector<VmName> usableHolders;
        for (const VmName& vm : holders.value().vms) {
            if (!context_.directory.isUsable(vm))
                continue;
            // A holder that has bid before is asked again, since it may have started to load after its bid.
            std::erase_if(search->candidates, [&](const Candidate& candidate) { return candidate.vm == vm; });
            usableHolders.push_back(vm);
        }
        if (usableHolders.empty())
            return evaluate(where);
        requestBids(where, usableHolders);
    });
}

void Home::replyAll(Search& search, const WakeReply& reply)
{
    WakeReply versioned = reply;
    versioned.bundleVersion = bundleVersion();
    for (const auto& [sender, handler] : search.replies)
        handler(versioned);
}

void Home::finish(const SiteTarget& where, const WakeReply& reply)
{
    // Removes the search first, since a handler may send another wake for the same target.
    auto search = searches_.extract(where);
    replyAll(search.mapped(), reply);
}

void Home::fail(const SiteTarget& where, const Error& error) { finish(where, WakeReply { true, {}, error }); }

std::vector<VmName> Home::loadedVms(const Search& search) const
{
    std::vector<VmName> vms;
    for (const Candidate& candidate : search.candidates) {
        if (candidate.isLoaded)
            vms.push_back(candidate.vm);
    }
    return vms;
}

std::uint32_t Home::replicaCap(const SiteTarget& where) const
{
    const bundle::BundlePointer bundle = context_.bundle();
    if (!bundle)
        return 0;
    return bundle->decidedReplicas(where.target.model, where.target.adapter, where.site);
}

Home::Search* Home::find(const SiteTarget& where, std::uint64_t number)
{
    const auto found = searches_.find(where);
    return found != searches_.end() && found->second.number == number ? &found->second : nullptr;
}

} // namespace lagoon::router
