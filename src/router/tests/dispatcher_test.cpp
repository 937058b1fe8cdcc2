#include "quarantine/evidencewire.h"
#include "router/tests/fixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::router;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using wire::fb::Body;

namespace {

constexpr Milliseconds longTimeout { 60000 };

class DispatchFixture : public RouterFixture {
public:
    /// Answers the bid request that the agent received.
    void bid(const std::string& vm, bool canLoad, bool isLoaded = false)
    {
        const auto to = link(vm);
        wire::fb::BidT bid;
        bid.correlation = to->takeSent(Body::BidRequest).body.AsBidRequest()->correlation;
        bid.can_load = canLoad;
        bid.is_loaded = isLoaded;
        bid.checkpoint = static_cast<std::uint8_t>(checkpoint_);
        bid.refusal = static_cast<std::uint8_t>(ErrorCode::MemoryShort);
        to->deliver(wire::message(bid));
        runPending();
    }

    void bidBoth(bool canLoad)
    {
        completeHandshake("draft-1");
        completeHandshake("draft-2");
        bid("draft-1", canLoad);
        bid("draft-2", canLoad);
    }

    /// Returns the agent that received a load order, and stores the order's correlation; empty if there was none.
    std::string takeLoadOrder()
    {
        for (std::string vm : { "draft-1", "draft-2" }) {
            for (const wire::Message& sent : link(vm)->takeSent()) {
                if (sent.body.type != Body::Load)
                    continue;
                loadCorrelation_ = sent.body.AsLoad()->correlation;
                ++loads_;
                return vm;
            }
        }
        return "";
    }

    void endLoad(const std::string& vm, bool isLoaded, ErrorCode code = ErrorCode::LoadFailed)
    {
        wire::fb::LoadResultT result;
        result.correlation = loadCorrelation_;
        result.is_loaded = isLoaded;
        result.code = static_cast<std::uint8_t>(code);
        link(vm)->deliver(wire::message(std::move(result)));
        runPending();
    }

    wire::fb::DispatchIdT sentId(const std::string& vm)
    {
        return *link(vm)->takeSent(Body::Dispatch).body.AsDispatch()->id;
    }

    /// Returns the agent that received a dispatch, and the dispatch's id.
    std::pair<std::string, wire::fb::DispatchIdT> firstDispatch()
    {
        for (std::string vm : { "draft-1", "draft-2" }) {
            if (!link(vm))
                continue;
            completeHandshake(vm);
            for (const wire::Message& sent : link(vm)->takeSent()) {
                if (sent.body.type == Body::Dispatch)
                    return { vm, *sent.body.AsDispatch()->id };
            }
        }
        throw std::runtime_error("nothing was dispatched");
    }

    static std::string other(const std::string& vm) { return vm == "draft-1" ? "draft-2" : "draft-1"; }

    policy::CheckpointLocation checkpoint_ = policy::CheckpointLocation::Memory;
    std::uint64_t loadCorrelation_ = 0;
    int loads_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Dispatchers, DispatchFixture)

BOOST_AUTO_TEST_CASE(aColdModelIsLoadedOnceForAllWaitingRequests)
{
    std::vector<std::shared_ptr<FakeAnswer>> answers;
    for (int caller = 0; caller < 3; ++caller)
        answers.push_back(ask(notes(), longTimeout, false));
    bidBoth(true);
    const std::string vm = takeLoadOrder();
    BOOST_REQUIRE(!vm.empty());
    BOOST_TEST(takeLoadOrder() == "");
    endLoad(vm, true);
    for (int caller = 0; caller < 3; ++caller)
        answer(*link(vm), sentId(vm), "note");
    for (const auto& each : answers) {
        BOOST_TEST(each->isComplete_);
        BOOST_TEST(each->finalCount_ == 1);
    }
    BOOST_TEST(metrics_.text().find("lagoon_cold_start_seconds_count 3") != std::string::npos);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// No upstream can free enough memory. The request must be refused at once, as not run and with a retry-after time, not
// at its deadline.
BOOST_AUTO_TEST_CASE(aRequestIsRefusedAtOnceIfNoUpstreamHasMemory)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(false);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::MemoryShort);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(caller->refused_->retryAfter.has_value());
}

// A load fails at the first upstream. The second must be tried before a request is refused.
BOOST_AUTO_TEST_CASE(aFailedLoadIsRetriedOnAnotherUpstream)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const std::string first = takeLoadOrder();
    endLoad(first, false);
    const std::string second = takeLoadOrder();
    BOOST_TEST(second == other(first));
    endLoad(second, true);
    answer(*link(second), sentId(second), "note");
    BOOST_TEST(caller->isComplete_);
}

// Operators move a model to another site while a cold request for it waits, and the count at this site is lowered
// shortly before this router has the new bundle. The request must wait for that bundle, not be refused for lack of a
// replica.
BOOST_AUTO_TEST_CASE(aRequestWaitsForTheBundleThatLoweredTheCount)
{
    holders_.bundleVersion = framework::BundleVersion(4);
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    endLoad(takeLoadOrder(), false, ErrorCode::ReplicaCapReached);
    control_.advance(Milliseconds(1000));
    BOOST_TEST(!caller->refused_);
    auto newer = std::make_shared<bundle::Bundle>(*bundle_);
    newer->version = framework::BundleVersion(4);
    bundle_ = newer;
    control_.advance(Milliseconds(200));
    bid("draft-1", true);
    bid("draft-2", false);
    BOOST_TEST(takeLoadOrder() == "draft-1");
    endLoad("draft-1", true);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isComplete_);
}

// During a move the bundle decides a replica at both sites, and only the one at the other site is loaded. It must
// serve, and this site must load its own meanwhile, or it would stay cold until the other replica is removed.
BOOST_AUTO_TEST_CASE(anotherSitesReplicaServesWhileALocalOneIsLoaded)
{
    placements_.add(notes(), framework::VmName("far-1"));
    const auto first = ask(notes(), longTimeout, false);
    completeHandshake("far-1");
    answer(*link("far-1"), sentId("far-1"), "note");
    BOOST_TEST(first->isComplete_);
    bidBoth(true);
    const std::string own = takeLoadOrder();
    BOOST_REQUIRE(!own.empty());
    endLoad(own, true);
    const auto second = ask(notes(), longTimeout, false);
    answer(*link(own), sentId(own), "note");
    BOOST_TEST(second->isComplete_);
}

// The router that is home for the model freezes with its connections open. After one second without a reply the next
// router in rendezvous order must act as home, or the request would wait until its deadline.
BOOST_AUTO_TEST_CASE(aSilentHomeIsReplacedByTheNextRouter)
{
    const std::string home = addHomeFor("notes");
    const auto caller = ask(notes(), longTimeout, false);
    BOOST_TEST(link(home)->takeSent(Body::Wake).body.AsWake()->target->model == "notes");
    BOOST_TEST(!link("draft-1"));
    control_.advance(Milliseconds(1100));
    BOOST_REQUIRE(link("draft-1"));
    bidBoth(true);
    const std::string vm = takeLoadOrder();
    endLoad(vm, true);
    answer(*link(vm), sentId(vm), "note");
    BOOST_TEST(caller->isComplete_);
}

// An agent's link breaks during a request, so the request excludes the agent. But the agent is healthy, and the home
// finds that it alone serves the model. The request must be sent there, not wait for another agent until its deadline.
BOOST_AUTO_TEST_CASE(anAgentThatFailedIsUsedAgainIfItIsTheOnlyOne)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    link("draft-1")->cut("connect");
    runPending();
    completeHandshake("draft-1");
    completeHandshake("draft-2");
    bid("draft-1", false, true);
    bid("draft-2", false);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isComplete_);
}

// The weight store is too slow for the load to end in time. The waiting request must be refused as not run before its
// deadline.
BOOST_AUTO_TEST_CASE(aWaitingRequestIsRefusedBeforeItsDeadline)
{
    const auto caller = ask(notes(), Milliseconds(100), false);
    bidBoth(true);
    control_.advance(Milliseconds(99));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(caller->finalCount_ == 1);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// A slot hold was sent and its agent never answers. At the deadline the caller must receive "unknown", since the hold
// may have been made.
BOOST_AUTO_TEST_CASE(aSentRequestEndsAsUnknownAtItsDeadline)
{
    const auto caller = ask(holds(), Milliseconds(1000), false);
    firstDispatch();
    control_.advance(Milliseconds(1000));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::DeadlinePassed);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
}

BOOST_AUTO_TEST_CASE(aRequestThatDidNotRunIsRetriedOnAnotherAgent)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::Draining, Execution::NotRun);
    completeHandshake(other(vm));
    answer(*link(other(vm)), sentId(other(vm)), "held");
    BOOST_TEST(caller->isComplete_);
    BOOST_TEST(caller->attempt_ == 2u);
}

// The upstream fails after a slot hold was sent. A second attempt could hold two slots, so the caller must receive
// "unknown" instead.
BOOST_AUTO_TEST_CASE(aRequestThatMayHaveRunIsNotRetried)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
    BOOST_TEST(!link(other(vm)));
}

BOOST_AUTO_TEST_CASE(aRepeatableRequestIsRetriedAfterAnUnknownOutcome)
{
    const auto caller = ask(holds(), longTimeout, true);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    completeHandshake(other(vm));
    answer(*link(other(vm)), sentId(other(vm)), "found");
    BOOST_TEST(caller->isComplete_);
}

// Every upstream fails every request. Retries must stop once their budget is spent, or they would multiply an overload.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheBudget)
{
    settings_.retryShare = 0;
    dispatcher_.setReplicaChoice(policy::makeReplicaChoice({}, 1));
    int refusedForBudget = 0;
    for (int caller = 0; caller < 60; ++caller) {
        const auto answer = ask(holds(), longTimeout, true);
        for (int attempt = 0; attempt < 4 && !answer->refused_; ++attempt) {
            for (const std::string vm : { "draft-1", "draft-2" }) {
                if (!link(vm))
                    continue;
                completeHandshake(vm);
                for (const wire::Message& sent : link(vm)->takeSent()) {
                    if (sent.body.type == Body::Dispatch)
                        refuse(*link(vm), *sent.body.AsDispatch()->id, ErrorCode::UpstreamBroken, Execution::Unknown);
                }
            }
        }
        BOOST_REQUIRE(answer->refused_);
        refusedForBudget += answer->refused_->code == ErrorCode::RetryBudgetSpent;
    }
    BOOST_TEST(refusedForBudget > 0);
}

BOOST_AUTO_TEST_CASE(aDisconnectedCallersRequestIsCancelled)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    caller->onGone_();
    runPending();
    BOOST_TEST(link(vm)->takeSent(Body::Cancel).body.AsCancel()->id->sequence == id.sequence);
    BOOST_TEST(dispatcher_.requests() == 0u);
    BOOST_TEST(caller->finalCount_ == 0);
}

// An answer is cut after its head was sent. The caller's connection must be broken off, without a refusal appended to
// the incomplete answer.
BOOST_AUTO_TEST_CASE(aStartedAnswerIsBrokenOff)
{
    const auto caller = ask(holds(), longTimeout, true);
    const auto [vm, id] = firstDispatch();
    deliverHead(*link(vm), id, 200);
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    BOOST_TEST(caller->brokenOff_.has_value());
    BOOST_TEST(!caller->refused_);
    BOOST_TEST(caller->finalCount_ == 1);
}

// The placement cache lists an agent that has unloaded the model since. The agent refuses the request as not run, and
// the request must wait for a new load instead of being refused.
BOOST_AUTO_TEST_CASE(aStalePlacementLeadsToANewLoad)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    completeHandshake("draft-1");
    refuse(*link("draft-1"), sentId("draft-1"), ErrorCode::NotLoaded, Execution::NotRun);
    completeHandshake("draft-2");
    bid("draft-1", true);
    bid("draft-2", false);
    BOOST_TEST(takeLoadOrder() == "draft-1");
    endLoad("draft-1", true);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isComplete_);
}

// An agent is restarted for a new program version: it drains and exits, and a new process listens on the same endpoint.
// It must get work again, although the platform's list hasn't changed.
BOOST_AUTO_TEST_CASE(anAgentThatDrainedGetsWorkAgain)
{
    const auto first = ask(holds(), longTimeout, false);
    for (int attempt = 0; attempt < 2; ++attempt) {
        const auto [vm, id] = firstDispatch();
        refuse(*link(vm), id, ErrorCode::Draining, Execution::NotRun);
    }
    BOOST_REQUIRE(first->refused_);
    BOOST_TEST(ask(holds(), longTimeout, false)->refused_.has_value());
    control_.advance(Milliseconds(6000));
    const auto later = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    answer(*link(vm), id, "held");
    BOOST_TEST(later->isComplete_);
}

BOOST_AUTO_TEST_CASE(aWakeCarriesTheHighestPriorityOfItsWaitingRequests)
{
    objectstore::VmEntry peer;
    peer.vm = framework::VmName("entry-2");
    peer.role = objectstore::VmRole::Router;
    peer.site = directory_.find(framework::VmName("entry-1"))->site;
    peer.endpoint = endpoint("entry-2");
    directory_.setEntries({ peer });
    const auto low = ask(notes(), longTimeout, false, 2);
    const wire::Message first = link("entry-2")->takeSent(Body::Wake);
    BOOST_TEST(+first.body.AsWake()->priority == 2);
    // The home acknowledges the wake, or it would be excluded as silent.
    wire::fb::WakeResultT acknowledgement;
    acknowledgement.correlation = first.body.AsWake()->correlation;
    acknowledgement.target = std::make_unique<wire::fb::TargetT>(*first.body.AsWake()->target);
    link("entry-2")->deliver(wire::message(std::move(acknowledgement)));
    const auto high = ask(notes(), longTimeout, false, 7);
    const auto middle = ask(notes(), longTimeout, false, 5);
    control_.advance(Milliseconds(1000));
    BOOST_TEST(+link("entry-2")->takeSent(Body::Wake).body.AsWake()->priority == 7);
}

// The weight store's only slot is occupied and another load waits for it. Then a request of high priority at another
// router joins the requests that wait for a queued load. That load must overtake the other one, and the waiting routers
// must receive the earlier forecast.
BOOST_AUTO_TEST_CASE(aLaterWakeRaisesThePriorityOfAQueuedLoad)
{
    bundle::PolicyParameters parameters;
    parameters.weightLoadsAtFullSpeed = 1;
    gate_.setPolicy(parameters, policy::makeLoadOrder(parameters));
    const framework::SiteName site = directory_.find(framework::VmName("entry-1"))->site;
    const framework::Deadline deadline = framework::Deadline::after(control_.now(), longTimeout);
    for (const char* name : { "running", "queued" }) {
        const SiteTarget other { { framework::ModelName(name), {}, {} }, site };
        gate_.enqueue(
            { other, policy::CheckpointLocation::Remote, framework::MebiBytes(60), { deadline, 1, 5 } }, [] {});
    }
    std::optional<framework::Deadline> soonest;
    const auto record = [&soonest](const WakeReply& reply) { soonest = reply.soonestAt; };
    WakeOrder order { { notes(), site }, 1, deadline, deadline, 1, 0 };
    home_.wake(framework::VmName("entry-1"), order, record);
    runPending();
    checkpoint_ = policy::CheckpointLocation::Remote;
    bidBoth(true);
    BOOST_REQUIRE(soonest.has_value());
    const framework::Deadline before = *soonest;
    order.priority = 9;
    home_.wake(framework::VmName("entry-2"), order, record);
    BOOST_CHECK(*soonest < before);
}

// The only replica that the bundle decides is loaded, but its agent can't serve the request in time. No other replica
// will be loaded, so the request must be refused at once, not wait until its deadline.
BOOST_AUTO_TEST_CASE(aRequestIsRefusedAtOnceIfAllReplicasAreBusy)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    completeHandshake("draft-1");
    refuse(*link("draft-1"), sentId("draft-1"), ErrorCode::DeadlineHopeless, Execution::NotRun);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::DeadlineHopeless);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// Agents often load and unload models, so that many placements in the cache are stale. More requests than the retry
// budget allows are sent to a stale placement; none of them may be refused for that.
BOOST_AUTO_TEST_CASE(stalePlacementsDontConsumeTheRetryBudget)
{
    const int requests = 2 * static_cast<int>(settings_.retryReserve);
    for (int turn = 0; turn < requests; ++turn) {
        placements_.add(notes(), framework::VmName("draft-1"));
        const auto caller = ask(notes(), longTimeout, false);
        if (turn == 0)
            completeHandshake("draft-1");
        refuse(*link("draft-1"), sentId("draft-1"), ErrorCode::NotLoaded, Execution::NotRun);
        BOOST_TEST(!caller->refused_);
    }
}

namespace {

constexpr Milliseconds grace { 8000 };

void checkNotStarted(const FakeAnswer& caller)
{
    BOOST_REQUIRE(caller.refused_);
    BOOST_CHECK(caller.refused_->code == ErrorCode::ShuttingDown);
    BOOST_CHECK(caller.refused_->execution == Execution::NotRun);
    BOOST_TEST(caller.refused_->retryAfter.has_value());
    BOOST_TEST(caller.finalCount_ == 1);
}

} // namespace

// The router shuts down while a request waits for a load that takes longer than the grace period, and there is no
// forecast for it. The request must be refused as not run while there is still time to serve it elsewhere, not at its
// own later deadline.
BOOST_AUTO_TEST_CASE(onShutdownARequestWaitingForALoadIsRefused)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const auto deadlines = framework::ShutdownDeadlines::after(control_.now(), grace);
    dispatcher_.beginShutdown(deadlines);
    control_.advance(deadlines.startBy.remaining(control_.now()) - Milliseconds(1));
    BOOST_TEST(caller->finalCount_ == 0, "the load may still end in time");
    control_.advance(Milliseconds(1));
    checkNotStarted(*caller);
    BOOST_TEST(wakes_.waiting() == 0u);
}

// The load ends within the grace period. The request must be served as in normal operation.
BOOST_AUTO_TEST_CASE(onShutdownALoadThatFinishesInTimeIsUsed)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const std::string vm = takeLoadOrder();
    dispatcher_.beginShutdown(framework::ShutdownDeadlines::after(control_.now(), grace));
    endLoad(vm, true);
    answer(*link(vm), sentId(vm), "note");
    BOOST_TEST(caller->isComplete_);
}

// A request whose load is forecast to end too late must be refused at once, not shortly before the router exits.
BOOST_AUTO_TEST_CASE(onShutdownAHopelessRequestIsRefusedAtOnce)
{
    const auto caller = ask(notes(), longTimeout, false);
    WakeReply progress;
    progress.soonestAt = framework::Deadline::after(control_.now(), Milliseconds(20000));
    dispatcher_.handleForecast(progress, { RequestNumber(1) });
    BOOST_TEST(caller->finalCount_ == 0);
    dispatcher_.beginShutdown(framework::ShutdownDeadlines::after(control_.now(), grace));
    dispatcher_.handleForecast(progress, { RequestNumber(1) });
    checkNotStarted(*caller);
}

// A request whose body arrived late is accepted after the time until which requests may be started. It must be refused
// at once.
BOOST_AUTO_TEST_CASE(onShutdownALateRequestIsRefusedAtOnce)
{
    const auto deadlines = framework::ShutdownDeadlines::after(control_.now(), grace);
    dispatcher_.beginShutdown(deadlines);
    control_.advance(deadlines.startBy.remaining(control_.now()));
    checkNotStarted(*ask(holds(), longTimeout, false));
}

// The link to the agent isn't open yet, so the request hasn't left the router. It must be refused as not run and never
// be sent.
BOOST_AUTO_TEST_CASE(onShutdownAnUnsentRequestIsNotRun)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto deadlines = framework::ShutdownDeadlines::after(control_.now(), grace);
    dispatcher_.beginShutdown(deadlines);
    control_.advance(deadlines.startBy.remaining(control_.now()));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    for (const std::string vm : { "draft-1", "draft-2" }) {
        if (!link(vm))
            continue;
        completeHandshake(vm);
        for (const wire::Message& sent : link(vm)->takeSent())
            BOOST_CHECK(sent.body.type != Body::Dispatch);
    }
}

// Two requests still run when the time for answers is over, one of them with a started answer. The one without an
// answer may have run, so it must end as "unknown". The started answer must be broken off, never ended as if it were
// complete.
BOOST_AUTO_TEST_CASE(onShutdownARunningRequestIsUnknownOrBrokenOff)
{
    const auto silent = ask(holds(), longTimeout, false);
    const auto [vm, first] = firstDispatch();
    const auto begun = ask(holds(), longTimeout, false);
    const auto [otherVm, second] = firstDispatch();
    deliverHead(*link(otherVm), second, 200);
    const auto deadlines = framework::ShutdownDeadlines::after(control_.now(), grace);
    dispatcher_.beginShutdown(deadlines);
    for (const std::string& each : { vm, otherVm })
        link(each)->takeSent();
    // Advances in steps short enough for the agents' pongs to keep the links from counting as silent.
    while (!deadlines.answerBy.hasPassed(control_.now())) {
        BOOST_TEST(silent->finalCount_ + begun->finalCount_ == 0);
        for (const std::string& each : { vm, otherVm })
            link(each)->deliver(wire::message(wire::fb::PongT()));
        control_.advance(std::min(Milliseconds(500), deadlines.answerBy.remaining(control_.now())));
    }
    BOOST_REQUIRE(silent->refused_);
    BOOST_CHECK(silent->refused_->code == ErrorCode::ShuttingDown);
    BOOST_CHECK(silent->refused_->execution == Execution::Unknown);
    BOOST_TEST(begun->brokenOff_.has_value());
    BOOST_TEST(!begun->isComplete_);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// An agent that shuts down refuses its whole queue as not run. Each of these requests must be retried on another agent.
// The retry budget, which keeps retries from multiplying an overload, must not refuse them, since a draining agent is
// not selected a second time.
BOOST_AUTO_TEST_CASE(aDrainingAgentsQueueIsRetriedOnOtherAgents)
{
    std::vector<std::shared_ptr<FakeAnswer>> callers;
    for (int caller = 0; caller < 100; ++caller)
        callers.push_back(ask(holds(), longTimeout, false));
    completeHandshake("draft-1");
    completeHandshake("draft-2");
    std::vector<wire::fb::DispatchIdT> queue;
    for (const wire::Message& sent : link("draft-1")->takeSent()) {
        if (sent.body.type == Body::Dispatch)
            queue.push_back(*sent.body.AsDispatch()->id);
    }
    BOOST_TEST(queue.size() > static_cast<std::size_t>(settings_.retryReserve));
    for (const wire::fb::DispatchIdT& id : queue)
        refuse(*link("draft-1"), id, ErrorCode::Draining, Execution::NotRun);
    for (const auto& caller : callers)
        BOOST_TEST(caller->finalCount_ == 0);
    BOOST_TEST(dispatcher_.requests() == 100u);
}

// The first agent fails a repeatable request that may have run, and the request then waits for another replica until
// its deadline. It must not be refused as "not run".
BOOST_AUTO_TEST_CASE(aRequestThatMayHaveRunIsNotReportedAsNotRunLater)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), Milliseconds(5000), true);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamFailed, Execution::Unknown);
    BOOST_TEST(caller->finalCount_ == 0, "it waits for another replica");
    control_.advance(Milliseconds(5000));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
}

namespace {

/// Evidence of crashed upstreams, with the request as the only one that ran there.
wire::Message crashesOf(const std::vector<std::uint8_t>& fingerprint, int count)
{
    wire::fb::CrashEvidenceT body;
    for (int number = 0; number < count; ++number) {
        auto crash = std::make_unique<wire::fb::ServerCrashT>();
        crash->server = "run-" + std::to_string(number);
        crash->is_confirmed = true;
        crash->ended_ms_ago = static_cast<std::uint32_t>(1000 - 100 * number);
        auto suspect = std::make_unique<wire::fb::SuspectedRequestT>();
        suspect->fingerprint = fingerprint;
        suspect->sent_ms_ago = crash->ended_ms_ago + 10;
        crash->suspects.push_back(std::move(suspect));
        body.crashes.push_back(std::move(crash));
    }
    return wire::message(std::move(body));
}

struct QuarantineFixture : DispatchFixture {
    callers::RequestTarget service()
    {
        callers::RequestTarget target;
        target.service = framework::ServiceName("holds");
        return target;
    }

    void learn(const std::vector<std::uint8_t>& fingerprint, int crashes)
    {
        const auto body = crashesOf(fingerprint, crashes);
        dispatcher_.quarantine().merge(quarantine::fromWire(*body.body.AsCrashEvidence(), control_.now()));
        runPending();
    }

    /// Sends a request whose dispatch shows its fingerprint.
    std::vector<std::uint8_t> sendFirst()
    {
        const auto first = ask(service(), longTimeout, false);
        for (const std::string vm : { "draft-1", "draft-2" }) {
            if (!link(vm))
                continue;
            completeHandshake(vm);
            const wire::Message sent = link(vm)->takeSent(Body::Dispatch);
            answer(*link(vm), *sent.body.AsDispatch()->id, "held");
            return sent.body.AsDispatch()->fingerprint;
        }
        return {};
    }
};

} // namespace

// Prevents a request that crashes its upstreams from being dispatched, and tells its caller when to come back.
BOOST_FIXTURE_TEST_CASE(aQuarantinedRequestIsRefusedAsNotRun, QuarantineFixture)
{
    const std::vector<std::uint8_t> fingerprint = sendFirst();
    BOOST_REQUIRE(fingerprint.size() == 16u);
    learn(fingerprint, 3);
    const auto refused = ask(service(), longTimeout, false);
    BOOST_REQUIRE(refused->refused_);
    BOOST_TEST((refused->refused_->code == ErrorCode::Quarantined));
    BOOST_TEST((refused->refused_->execution == Execution::NotRun));
    BOOST_TEST(refused->refused_->retryAfter->count() > 100000);
}

// Prevents copies of a suspected request from being dispatched while one of them runs.
BOOST_FIXTURE_TEST_CASE(copiesOfASuspectedRequestAreDispatchedOneAtATime, QuarantineFixture)
{
    learn(sendFirst(), 1);
    const auto first = ask(service(), longTimeout, false);
    const auto second = ask(service(), longTimeout, false);
    control_.advance(Milliseconds(200));
    const auto [vm, id] = firstDispatch();
    BOOST_TEST(dispatcher_.requests() == 2u);
    BOOST_CHECK_THROW(firstDispatch(), std::runtime_error);
    answer(*link(vm), id, "held");
    BOOST_TEST(first->isComplete_ != second->isComplete_);
    control_.advance(Milliseconds(200));
    const auto [nextVm, nextId] = firstDispatch();
    answer(*link(nextVm), nextId, "held");
    BOOST_TEST((first->isComplete_ && second->isComplete_));
}

// Prevents a retry from reaching the next upstream before the evidence on the crash of the first has arrived.
BOOST_FIXTURE_TEST_CASE(aRefusalThatTellsOfACutConnectionMakesTheRetryATrial, QuarantineFixture)
{
    const auto caller = ask(service(), longTimeout, true);
    const auto [vm, id] = firstDispatch();
    wire::fb::RefusedT refused;
    refused.id = std::make_unique<wire::fb::DispatchIdT>(id);
    refused.code = static_cast<std::uint8_t>(ErrorCode::UpstreamBroken);
    refused.execution = 1;
    refused.cut_at = "run-1";
    link(vm)->deliver(wire::message(std::move(refused)));
    runPending();
    BOOST_CHECK_THROW(firstDispatch(), std::runtime_error);
    control_.advance(Milliseconds(200));
    const auto [nextVm, nextId] = firstDispatch();
    answer(*link(nextVm), nextId, "held");
    BOOST_TEST(caller->isComplete_);
}

BOOST_AUTO_TEST_SUITE_END()
