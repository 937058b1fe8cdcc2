#include "forwarding/liveness.h"

#include "forwarding/internal/upstreamtable.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ServiceName;
using framework::SteadyTime;

const SteadyTime start { std::chrono::hours(1) };
const ServiceName service("engines");

SteadyTime after(int milliseconds) { return start + Milliseconds(milliseconds); }

struct Engines {
    explicit Engines(int count)
    {
        std::vector<catalog::Upstream> list;
        for (int number = 0; number < count; ++number) {
            catalog::Upstream upstream;
            upstream.instance = catalog::InstanceId("i-" + std::to_string(number));
            upstream.endpoint = Endpoint("10.0.0." + std::to_string(number + 1) + ":80");
            upstream.service = service;
            list.push_back(upstream);
        }
        table.setUpstreams(list);
    }

    UpstreamRecord& engine(std::size_t number) { return *table.ready(service).at(number); }

    boost::asio::io_context context;
    UpstreamTable table { context };
};

} // namespace

BOOST_AUTO_TEST_SUITE(TheLivenessOfAnUpstream)

// Party guests ask an engine whose VM has just stopped. Seven more a second were sent there until its agent had missed
// two words; all of them left after two seconds, and the engine met them when its VM went on four seconds later.
BOOST_AUTO_TEST_CASE(anEngineThatBringsNothingFallsSilentLongBeforeItsCallersLeave)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!liveness.isSilent(after(400)));
    for (int each = 0; each < 10; ++each)
        liveness.didSend(after(each * 20), Milliseconds(60));
    BOOST_TEST(liveness.isSilent(after(500)));
}

BOOST_AUTO_TEST_CASE(eventsOfAnyOfItsStreamsAreSigns)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 20; ++each)
        liveness.didSeeActivity(after(each * 200), 3);
    BOOST_TEST(!liveness.isSilent(after(4000)));
    BOOST_TEST(liveness.isSilent(after(4300)));
}

// A review of 9,000 tokens behind four others is read after a second. That engine isn't silent, it is busy.
BOOST_AUTO_TEST_CASE(aLongQueueIsGivenItsTime)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(960));
    BOOST_TEST(!liveness.isSilent(after(1200)));
    Liveness hopeless;
    hopeless.didSend(start, Milliseconds(60000));
    BOOST_TEST(hopeless.isSilent(after(2000)));
}

// Five routers sent fourteen chats to an engine in the 0.3 s after its VM had stopped: four engines held the model, and
// each router had several streams there that had brought an event each 30 ms until then.
BOOST_AUTO_TEST_CASE(anEngineThatPausesForLongerThanItDoesIsNoticedWithinATenthOfASecond)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 20; ++each)
        liveness.didSeeActivity(after(each * 30), 3);
    BOOST_TEST(!liveness.isPausing(after(570 + 90)));
    BOOST_TEST(liveness.isPausing(after(570 + 120)));
}

// An engine that reads prompts in pieces of 110 ms isn't one that has stopped.
BOOST_AUTO_TEST_CASE(itsUsualPausesMeanNothing)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 200; ++each)
        liveness.didSeeActivity(after(each % 20 == 0 ? each * 30 + 110 : each * 30), 3);
    const int last = 199 * 30;
    BOOST_TEST(!liveness.isPausing(after(last + 150)));
    BOOST_TEST(liveness.isPausing(after(last + 400)));
}

BOOST_AUTO_TEST_CASE(whatOwesNothingIsNotSilent)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    liveness.didSeeActivity(after(100), 1);
    liveness.didBecomeIdle();
    BOOST_TEST(!liveness.isSilent(after(10000)));
}

BOOST_AUTO_TEST_CASE(whatWasGivenUpStaysSilentUntilItIsHeard)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    liveness.didBecomeIdle();
    liveness.didAbandon(after(600));
    BOOST_TEST(liveness.isSilent(after(5000)));
    liveness.didSeeActivity(after(6000), 0);
    BOOST_TEST(!liveness.isSilent(after(9000)));
}

// No agent speaks for the engine, so only an answer can show that it lives.
BOOST_AUTO_TEST_CASE(aSilentOneIsProbedByOneRequestInFiveSeconds)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!liveness.mayProbe(after(4000)));
    BOOST_TEST(liveness.mayProbe(after(6000)));
    liveness.didSend(after(6000), Milliseconds(60));
    BOOST_TEST(!liveness.mayProbe(after(10900)));
    BOOST_TEST(liveness.mayProbe(after(11000)));
}

BOOST_AUTO_TEST_CASE(oneSilentEngineAmongThreeIsPassedBy)
{
    Engines engines(3);
    engines.engine(0).liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(engines.table.isSilent(engines.engine(0), after(1000)));
    BOOST_TEST(engines.table.mayAnyBeSilent(after(1000)));
    BOOST_TEST(!engines.table.mayAnyBeSilent(after(100)));
    BOOST_TEST(!engines.table.isSilent(engines.engine(1), after(1000)));
}

// A router's own VM stood still for three seconds. When it goes on, all its engines owe answers since long ago, and
// those that have come aren't read yet.
BOOST_AUTO_TEST_CASE(aRouterThatStoodStillItselfPassesNoneBy)
{
    Engines engines(3);
    for (std::size_t number = 0; number < 3; ++number)
        engines.engine(number).liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!engines.table.isSilent(engines.engine(0), after(3000)));
}

BOOST_AUTO_TEST_CASE(aWordOfItsAgentIsASign)
{
    Engines engines(3);
    engines.engine(0).liveness.didSend(start, Milliseconds(60));
    catalog::EngineState state;
    state.engine = engines.engine(0).facts.endpoint;
    engines.table.setState(state, after(900));
    BOOST_TEST(!engines.table.isSilent(engines.engine(0), after(1000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
