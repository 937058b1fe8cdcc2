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

BOOST_AUTO_TEST_SUITE(LivenessTests)

// Prevents requests from being sent to an engine whose VM has just stalled: seven more per second were sent there until
// its agent had missed two reports. Their callers disconnected after 2 s, and the engine processed the requests when
// its VM resumed 4 s later.
BOOST_AUTO_TEST_CASE(anEngineWithoutActivityIsSilentLongBeforeItsCallersDisconnect)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!liveness.isSilent(after(400)));
    for (int each = 0; each < 10; ++each)
        liveness.didSend(after(each * 20), Milliseconds(60));
    BOOST_TEST(liveness.isSilent(after(500)));
}

BOOST_AUTO_TEST_CASE(eventsOfAnyStreamAreActivity)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 20; ++each)
        liveness.didSeeActivity(after(each * 200), 3);
    BOOST_TEST(!liveness.isSilent(after(4000)));
    BOOST_TEST(liveness.isSilent(after(4300)));
}

// Prevents a busy engine from being taken for silent: a review request of 9,000 tokens queued behind four others is
// processed after 1 s.
BOOST_AUTO_TEST_CASE(aLongQueueExtendsTheTimeUntilSilence)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(960));
    BOOST_TEST(!liveness.isSilent(after(1200)));
    Liveness capped;
    capped.didSend(start, Milliseconds(60000));
    BOOST_TEST(capped.isSilent(after(2000)));
}

// Prevents requests from being sent to a stalled engine before it counts as silent: five routers sent 14 chat requests
// to an engine in the first 0.3 s after its VM had stalled. Four engines had the model loaded, and each router had
// several streams there that had sent an event every 30 ms until then.
BOOST_AUTO_TEST_CASE(anUnusualPauseIsDetectedLongBeforeSilence)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 20; ++each)
        liveness.didSeeActivity(after(each * 30), 3);
    BOOST_TEST(!liveness.isPausing(after(570 + 90)));
    BOOST_TEST(liveness.isPausing(after(570 + 120)));
}

// Prevents an engine that processes prompts in chunks of 110 ms from being taken for a stalled one.
BOOST_AUTO_TEST_CASE(usualPausesAreIgnored)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    for (int each = 1; each < 200; ++each)
        liveness.didSeeActivity(after(each % 20 == 0 ? each * 30 + 110 : each * 30), 3);
    const int last = 199 * 30;
    BOOST_TEST(!liveness.isPausing(after(last + 150)));
    BOOST_TEST(liveness.isPausing(after(last + 400)));
}

BOOST_AUTO_TEST_CASE(anUpstreamWithoutOutstandingRequestsIsNotSilent)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    liveness.didSeeActivity(after(100), 1);
    liveness.didBecomeIdle();
    BOOST_TEST(!liveness.isSilent(after(10000)));
}

BOOST_AUTO_TEST_CASE(anAbandonedUpstreamStaysSilentUntilItIsActive)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    liveness.didBecomeIdle();
    liveness.didAbandon(after(600));
    BOOST_TEST(liveness.isSilent(after(5000)));
    liveness.didSeeActivity(after(6000), 0);
    BOOST_TEST(!liveness.isSilent(after(9000)));
}

// Without an agent, only an answer can show that the engine is alive.
BOOST_AUTO_TEST_CASE(aSilentUpstreamIsProbedByOneRequestInFiveSeconds)
{
    Liveness liveness;
    liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!liveness.mayProbe(after(4000)));
    BOOST_TEST(liveness.mayProbe(after(6000)));
    liveness.didSend(after(6000), Milliseconds(60));
    BOOST_TEST(!liveness.mayProbe(after(10900)));
    BOOST_TEST(liveness.mayProbe(after(11000)));
}

BOOST_AUTO_TEST_CASE(oneSilentEngineAmongThreeIsDetected)
{
    Engines engines(3);
    engines.engine(0).liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(engines.table.isSilent(engines.engine(0), after(1000)));
    BOOST_TEST(engines.table.mayAnyBeSilent(after(1000)));
    BOOST_TEST(!engines.table.mayAnyBeSilent(after(100)));
    BOOST_TEST(!engines.table.isSilent(engines.engine(1), after(1000)));
}

// Prevents a router whose own VM stalled for 3 s from excluding all its engines: when it resumes, their answers appear
// overdue because those that have arrived haven't been read yet.
BOOST_AUTO_TEST_CASE(aRouterThatStalledItselfExcludesNoEngine)
{
    Engines engines(3);
    for (std::size_t number = 0; number < 3; ++number)
        engines.engine(number).liveness.didSend(start, Milliseconds(60));
    BOOST_TEST(!engines.table.isSilent(engines.engine(0), after(3000)));
}

BOOST_AUTO_TEST_CASE(aReportOfItsAgentIsActivity)
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
