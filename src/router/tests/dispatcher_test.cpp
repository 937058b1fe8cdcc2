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
    /// The agents that were asked to bid answer: the first can load, or none can.
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
        settle();
    }

    void bidBoth(bool canLoad)
    {
        greet("draft-1");
        greet("draft-2");
        bid("draft-1", canLoad);
        bid("draft-2", canLoad);
    }

    /// The agent that was told to load, and its order.
    std::string loader()
    {
        for (std::string vm : { "draft-1", "draft-2" }) {
            for (const wire::Message& sent : link(vm)->takeSent()) {
                if (sent.body.type != Body::Load)
                    continue;
                correlation_ = sent.body.AsLoad()->correlation;
                ++loads_;
                return vm;
            }
        }
        return "";
    }

    void endLoad(const std::string& vm, bool isLoaded, ErrorCode code = ErrorCode::LoadFailed)
    {
        wire::fb::LoadResultT result;
        result.correlation = correlation_;
        result.is_loaded = isLoaded;
        result.code = static_cast<std::uint8_t>(code);
        link(vm)->deliver(wire::message(std::move(result)));
        settle();
    }

    wire::fb::DispatchIdT sentId(const std::string& vm)
    {
        return *link(vm)->takeSent(Body::Dispatch).body.AsDispatch()->id;
    }

    /// The agent that a request went to, and its dispatch.
    std::pair<std::string, wire::fb::DispatchIdT> firstDispatch()
    {
        for (std::string vm : { "draft-1", "draft-2" }) {
            if (!link(vm))
                continue;
            greet(vm);
            for (const wire::Message& sent : link(vm)->takeSent()) {
                if (sent.body.type == Body::Dispatch)
                    return { vm, *sent.body.AsDispatch()->id };
            }
        }
        throw std::runtime_error("nothing was dispatched");
    }

    static std::string other(const std::string& vm) { return vm == "draft-1" ? "draft-2" : "draft-1"; }

    policy::CheckpointPlace checkpoint_ = policy::CheckpointPlace::Memory;
    std::uint64_t correlation_ = 0;
    int loads_ = 0;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(Dispatchers, DispatchFixture)

BOOST_AUTO_TEST_CASE(aColdModelIsLoadedOnceForAllWhoWait)
{
    std::vector<std::shared_ptr<FakeAnswer>> answers;
    for (int caller = 0; caller < 3; ++caller)
        answers.push_back(ask(notes(), longTimeout, false));
    bidBoth(true);
    const std::string vm = loader();
    BOOST_REQUIRE(!vm.empty());
    BOOST_TEST(loader() == "");
    endLoad(vm, true);
    for (int caller = 0; caller < 3; ++caller)
        answer(*link(vm), sentId(vm), "note");
    for (const auto& each : answers) {
        BOOST_TEST(each->isWhole_);
        BOOST_TEST(each->finals_ == 1);
    }
    BOOST_TEST(metrics_.text().find("lagoon_cold_start_seconds_count 3") != std::string::npos);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// No upstream can make room. The caller must hear so at once, as not run and with a time to come back, not at its
// deadline.
BOOST_AUTO_TEST_CASE(withoutRoomTheRefusalComesAtOnce)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(false);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::MemoryShort);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(caller->refused_->retryAfter.has_value());
}

// A load fails at the first upstream: the second is tried before anyone is refused.
BOOST_AUTO_TEST_CASE(aFailedLoadIsTriedElsewhere)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const std::string first = loader();
    endLoad(first, false);
    const std::string second = loader();
    BOOST_TEST(second == other(first));
    endLoad(second, true);
    answer(*link(second), sentId(second), "note");
    BOOST_TEST(caller->isWhole_);
}

// Operators move a model while a cold request for it waits: the count at this site is lowered a moment before this
// router has the new bundle. The request must wait for that bundle, not be refused for want of a replica.
BOOST_AUTO_TEST_CASE(aCountOfANewerBundleIsWaitedFor)
{
    holders_.bundleVersion = framework::BundleVersion(4);
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    endLoad(loader(), false, ErrorCode::ReplicaCapReached);
    control_.advance(Milliseconds(1000));
    BOOST_TEST(!caller->refused_);
    auto newer = std::make_shared<bundle::Bundle>(*bundle_);
    newer->version = framework::BundleVersion(4);
    bundle_ = newer;
    control_.advance(Milliseconds(200));
    bid("draft-1", true);
    bid("draft-2", false);
    BOOST_TEST(loader() == "draft-1");
    endLoad("draft-1", true);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isWhole_);
}

// Before a move ends both sites decide a replica, and only the other site's is warm. It serves; meanwhile this site
// gets its own, or it would stay cold until the other is taken away.
BOOST_AUTO_TEST_CASE(anotherSitesReplicaServesWhileTheOwnIsLoaded)
{
    placements_.add(notes(), framework::VmName("far-1"));
    const auto first = ask(notes(), longTimeout, false);
    greet("far-1");
    answer(*link("far-1"), sentId("far-1"), "note");
    BOOST_TEST(first->isWhole_);
    bidBoth(true);
    const std::string own = loader();
    BOOST_REQUIRE(!own.empty());
    endLoad(own, true);
    const auto second = ask(notes(), longTimeout, false);
    answer(*link(own), sentId(own), "note");
    BOOST_TEST(second->isWhole_);
}

// The router that is home for the model freezes with its connections open. After a second without a word the next
// router in the order must do its duty, or the request would wait until its deadline.
BOOST_AUTO_TEST_CASE(aSilentHomeIsPassedBy)
{
    const std::string home = addHomeFor("notes");
    const auto caller = ask(notes(), longTimeout, false);
    BOOST_TEST(link(home)->takeSent(Body::Wake).body.AsWake()->target->model == "notes");
    BOOST_TEST(!link("draft-1"));
    control_.advance(Milliseconds(1100));
    BOOST_REQUIRE(link("draft-1"));
    bidBoth(true);
    const std::string vm = loader();
    endLoad(vm, true);
    answer(*link(vm), sentId(vm), "note");
    BOOST_TEST(caller->isWhole_);
}

// An agent's link broke under a request, which therefore avoids it; but the agent lives, and the home finds that only
// it has the model. The request must go there, not wait until its deadline for another.
BOOST_AUTO_TEST_CASE(anAgentThatFailedOnceIsUsedAgainIfItIsTheOnlyOne)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    link("draft-1")->cut("connect");
    settle();
    greet("draft-1");
    greet("draft-2");
    bid("draft-1", false, true);
    bid("draft-2", false);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isWhole_);
}

// The weight store crawls and the load doesn't end. The waiting request is refused as not run before its deadline.
BOOST_AUTO_TEST_CASE(aWaitingRequestIsRefusedBeforeItsDeadline)
{
    const auto caller = ask(notes(), Milliseconds(100), false);
    bidBoth(true);
    control_.advance(Milliseconds(99));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(caller->finals_ == 1);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// A hold was sent and its agent never answers: at the deadline the caller hears "unknown", since it may have been made.
BOOST_AUTO_TEST_CASE(aSentRequestIsUnknownAtItsDeadline)
{
    const auto caller = ask(holds(), Milliseconds(1000), false);
    firstDispatch();
    control_.advance(Milliseconds(1000));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::DeadlinePassed);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
}

BOOST_AUTO_TEST_CASE(whatDidNotRunGoesElsewhere)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::Draining, Execution::NotRun);
    greet(other(vm));
    answer(*link(other(vm)), sentId(other(vm)), "held");
    BOOST_TEST(caller->isWhole_);
    BOOST_TEST(caller->attempt_ == 2u);
}

// An agent dies after a hold was sent. A second attempt could hold two slots: the caller hears "unknown" instead.
BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNotRepeated)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
    BOOST_TEST(!link(other(vm)));
}

BOOST_AUTO_TEST_CASE(whatMayBeRepeatedIs)
{
    const auto caller = ask(holds(), longTimeout, true);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    greet(other(vm));
    answer(*link(other(vm)), sentId(other(vm)), "found");
    BOOST_TEST(caller->isWhole_);
}

// Every upstream fails every request. Retries must stop when their budget is spent, or they multiply the overload.
BOOST_AUTO_TEST_CASE(retriesStayInTheirBudget)
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
                greet(vm);
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

BOOST_AUTO_TEST_CASE(aCallerThatHangsUpFreesItsPlaceAndItsWork)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto [vm, id] = firstDispatch();
    caller->hangUp_();
    settle();
    BOOST_TEST(link(vm)->takeSent(Body::Cancel).body.AsCancel()->id->sequence == id.sequence);
    BOOST_TEST(dispatcher_.requests() == 0u);
    BOOST_TEST(caller->finals_ == 0);
}

// A stream is cut in the middle: the caller must see its connection break, not a refusal glued to half an answer.
BOOST_AUTO_TEST_CASE(aBegunAnswerIsBrokenOff)
{
    const auto caller = ask(holds(), longTimeout, true);
    const auto [vm, id] = firstDispatch();
    wire::fb::AnswerHeadT head;
    head.id = std::make_unique<wire::fb::DispatchIdT>(id);
    link(vm)->deliver(wire::message(std::move(head)));
    refuse(*link(vm), id, ErrorCode::UpstreamBroken, Execution::Unknown);
    BOOST_TEST(caller->brokenOff_.has_value());
    BOOST_TEST(!caller->refused_);
    BOOST_TEST(caller->finals_ == 1);
}

// The placement cache says that an agent has the model, but it was unloaded: the request is not run there, and waits
// for a new load instead of being refused.
BOOST_AUTO_TEST_CASE(aStalePlacementLeadsToANewLoad)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    greet("draft-1");
    refuse(*link("draft-1"), sentId("draft-1"), ErrorCode::NotLoaded, Execution::NotRun);
    greet("draft-2");
    bid("draft-1", true);
    bid("draft-2", false);
    BOOST_TEST(loader() == "draft-1");
    endLoad("draft-1", true);
    answer(*link("draft-1"), sentId("draft-1"), "note");
    BOOST_TEST(caller->isWhole_);
}

// An agent is restarted for a new program version: it drains, ends, and a new process answers at the same place. It
// must get work again, though nothing in the platform's list changed.
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
    BOOST_TEST(later->isWhole_);
}

BOOST_AUTO_TEST_CASE(aWakeCarriesTheHighestPriorityOfThoseWaiting)
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
    // The home says that it has heard, or it would be passed by.
    wire::fb::WakeResultT heard;
    heard.correlation = first.body.AsWake()->correlation;
    heard.target = std::make_unique<wire::fb::TargetT>(*first.body.AsWake()->target);
    link("entry-2")->deliver(wire::message(std::move(heard)));
    const auto high = ask(notes(), longTimeout, false, 7);
    const auto middle = ask(notes(), longTimeout, false, 5);
    control_.advance(Milliseconds(1000));
    BOOST_TEST(+link("entry-2")->takeSent(Body::Wake).body.AsWake()->priority == 7);
}

// The store's one place is taken and another load waits for it, when a caller of high priority at some router joins
// those who wait for a queued load. The load must overtake, and those who wait must be told of the earlier end.
BOOST_AUTO_TEST_CASE(aHomesQueuedLoadTakesALaterWakesPriority)
{
    bundle::PolicyParameters numbers;
    numbers.weightLoadsAtFullSpeed = 1;
    gate_.setPolicy(numbers, policy::makeLoadOrder(numbers));
    const framework::SiteName site = directory_.find(framework::VmName("entry-1"))->site;
    const framework::Deadline deadline = framework::Deadline::after(control_.now(), longTimeout);
    for (const char* name : { "running", "queued" }) {
        const SiteTarget other { { framework::ModelName(name), {}, {} }, site };
        gate_.enqueue({ other, policy::CheckpointPlace::Remote, framework::MebiBytes(60), { deadline, 1, 5 } }, [] {});
    }
    std::optional<framework::Deadline> soonest;
    const auto note = [&soonest](const WakeReply& reply) { soonest = reply.soonestAt; };
    WakeOrder order { { notes(), site }, 1, deadline, deadline, 1, 0 };
    home_.wake(framework::VmName("entry-1"), order, note);
    settle();
    checkpoint_ = policy::CheckpointPlace::Remote;
    bidBoth(true);
    BOOST_REQUIRE(soonest.has_value());
    const framework::Deadline before = *soonest;
    order.priority = 9;
    home_.wake(framework::VmName("entry-2"), order, note);
    BOOST_CHECK(*soonest < before);
}

// The one replica that the bundle decides is warm, but its agent can't serve the request in time. No other will be
// loaded: the caller must hear so at once, not wait for a replica until its deadline.
BOOST_AUTO_TEST_CASE(aBusyReplicaWithoutAnotherRefusesAtOnce)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), longTimeout, false);
    greet("draft-1");
    refuse(*link("draft-1"), sentId("draft-1"), ErrorCode::DeadlineHopeless, Execution::NotRun);
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->code == ErrorCode::DeadlineHopeless);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// Models come and go at the agents, so that many placements in the cache are stale. More requests than the retry budget
// allows meet one; none of them may be refused for that.
BOOST_AUTO_TEST_CASE(stalePlacementsDontUseTheRetryBudgetUp)
{
    const int requests = 2 * static_cast<int>(settings_.retryReserve);
    for (int turn = 0; turn < requests; ++turn) {
        placements_.add(notes(), framework::VmName("draft-1"));
        const auto caller = ask(notes(), longTimeout, false);
        if (turn == 0)
            greet("draft-1");
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
    BOOST_TEST(caller.finals_ == 1);
}

} // namespace

// The router is told to end while a request waits for a load that takes longer than the grace period; nothing forecasts
// it. The request must be refused as not run while there is time to be served elsewhere, not at its own late deadline.
BOOST_AUTO_TEST_CASE(atTheEndWhatWaitsForALoadIsRefused)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const auto end = framework::ServiceEnd::after(control_.now(), grace);
    dispatcher_.endService(end);
    control_.advance(end.startBy.remaining(control_.now()) - Milliseconds(1));
    BOOST_TEST(caller->finals_ == 0, "the load may still end in time");
    control_.advance(Milliseconds(1));
    checkNotStarted(*caller);
    BOOST_TEST(wakes_.waiting() == 0u);
}

// The load ends within the grace period: the request is served as if the router stayed.
BOOST_AUTO_TEST_CASE(atTheEndALoadThatComesInTimeIsUsed)
{
    const auto caller = ask(notes(), longTimeout, false);
    bidBoth(true);
    const std::string vm = loader();
    dispatcher_.endService(framework::ServiceEnd::after(control_.now(), grace));
    endLoad(vm, true);
    answer(*link(vm), sentId(vm), "note");
    BOOST_TEST(caller->isWhole_);
}

// What is known to come too late is refused at once, not held until the last moment; nor is a later request.
BOOST_AUTO_TEST_CASE(atTheEndWhatIsHopelessIsRefusedAtOnce)
{
    const auto caller = ask(notes(), longTimeout, false);
    WakeReply progress;
    progress.soonestAt = framework::Deadline::after(control_.now(), Milliseconds(20000));
    dispatcher_.takeExpectation(progress, { RequestNumber(1) });
    BOOST_TEST(caller->finals_ == 0);
    dispatcher_.endService(framework::ServiceEnd::after(control_.now(), grace));
    dispatcher_.takeExpectation(progress, { RequestNumber(1) });
    checkNotStarted(*caller);
}

// A request whose body came late is handed over when nothing may be started any more.
BOOST_AUTO_TEST_CASE(atTheEndALateRequestIsRefusedAtOnce)
{
    const auto end = framework::ServiceEnd::after(control_.now(), grace);
    dispatcher_.endService(end);
    control_.advance(end.startBy.remaining(control_.now()));
    checkNotStarted(*ask(holds(), longTimeout, false));
}

// An agent's link isn't open yet: the request has not left the router, so it surely didn't run.
BOOST_AUTO_TEST_CASE(atTheEndWhatWasNotSentIsNotRun)
{
    const auto caller = ask(holds(), longTimeout, false);
    const auto end = framework::ServiceEnd::after(control_.now(), grace);
    dispatcher_.endService(end);
    control_.advance(end.startBy.remaining(control_.now()));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::NotRun);
    for (const std::string vm : { "draft-1", "draft-2" }) {
        if (!link(vm))
            continue;
        greet(vm);
        for (const wire::Message& sent : link(vm)->takeSent())
            BOOST_CHECK(sent.body.type != Body::Dispatch);
    }
}

// An agent has two requests when time is up, one of them with a begun answer. The first may have run; the second is
// broken off, never ended as if it were whole. The agent is told to stop both.
BOOST_AUTO_TEST_CASE(atTheEndWhatRunsIsUnknownOrBrokenOff)
{
    const auto silent = ask(holds(), longTimeout, false);
    const auto [vm, first] = firstDispatch();
    const auto begun = ask(holds(), longTimeout, false);
    const auto [otherVm, second] = firstDispatch();
    wire::fb::AnswerHeadT head;
    head.id = std::make_unique<wire::fb::DispatchIdT>(second);
    head.status = 200;
    link(otherVm)->deliver(wire::message(std::move(head)));
    settle();
    const auto end = framework::ServiceEnd::after(control_.now(), grace);
    dispatcher_.endService(end);
    for (const std::string& each : { vm, otherVm })
        link(each)->takeSent();
    // In steps that an agent's sign of life can keep pace with.
    while (!end.answerBy.hasPassed(control_.now())) {
        BOOST_TEST(silent->finals_ + begun->finals_ == 0);
        for (const std::string& each : { vm, otherVm })
            link(each)->deliver(wire::message(wire::fb::PongT()));
        control_.advance(std::min(Milliseconds(500), end.answerBy.remaining(control_.now())));
    }
    BOOST_REQUIRE(silent->refused_);
    BOOST_CHECK(silent->refused_->code == ErrorCode::ShuttingDown);
    BOOST_CHECK(silent->refused_->execution == Execution::Unknown);
    BOOST_TEST(begun->brokenOff_.has_value());
    BOOST_TEST(!begun->isWhole_);
    BOOST_TEST(dispatcher_.requests() == 0u);
}

// An agent that is told to end refuses its whole queue as not run. Each of these is to go to another agent: the budget
// that keeps retries from multiplying an overload must not refuse them, as an agent that drains is asked no second
// time.
BOOST_AUTO_TEST_CASE(aDrainingAgentsQueueGoesElsewhere)
{
    std::vector<std::shared_ptr<FakeAnswer>> callers;
    for (int caller = 0; caller < 100; ++caller)
        callers.push_back(ask(holds(), longTimeout, false));
    greet("draft-1");
    greet("draft-2");
    std::vector<wire::fb::DispatchIdT> queue;
    for (const wire::Message& sent : link("draft-1")->takeSent()) {
        if (sent.body.type == Body::Dispatch)
            queue.push_back(*sent.body.AsDispatch()->id);
    }
    BOOST_TEST(queue.size() > static_cast<std::size_t>(settings_.retryReserve));
    for (const wire::fb::DispatchIdT& id : queue)
        refuse(*link("draft-1"), id, ErrorCode::Draining, Execution::NotRun);
    for (const auto& caller : callers)
        BOOST_TEST(caller->finals_ == 0);
    BOOST_TEST(dispatcher_.requests() == 100u);
}

// A request that may be repeated was lost with its first agent, which may have run it, and then waits in vain for
// another. "Not run" would not be true.
BOOST_AUTO_TEST_CASE(whatMayHaveRunIsNeverCalledNotRunLater)
{
    placements_.add(notes(), framework::VmName("draft-1"));
    const auto caller = ask(notes(), Milliseconds(5000), true);
    const auto [vm, id] = firstDispatch();
    refuse(*link(vm), id, ErrorCode::UpstreamFailed, Execution::Unknown);
    BOOST_TEST(caller->finals_ == 0, "it waits for another replica");
    control_.advance(Milliseconds(5000));
    BOOST_REQUIRE(caller->refused_);
    BOOST_CHECK(caller->refused_->execution == Execution::Unknown);
}

BOOST_AUTO_TEST_SUITE_END()
