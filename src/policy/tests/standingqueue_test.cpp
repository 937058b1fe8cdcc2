#include "policy/standingqueue.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace lagoon::policy {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Simulates an engine that prefills one prompt after the other in 130 ms each, so 7.7 prompts per second. These are
/// the figures for review requests whose shared prefixes are cached. Callers disconnect after 4.8 s; an answer within
/// 0.8 s is in time.
class SimulatedEngine {
public:
    explicit SimulatedEngine(bool refuses)
        : refuses_(refuses)
    {
    }

    void offer(int perSecond, Milliseconds duration)
    {
        const Milliseconds between(1000 / perSecond);
        for (Milliseconds offered(0); offered < duration; offered += between) {
            arrive();
            now_ += between;
        }
    }

    int inTime = 0;
    int late = 0;
    int refused = 0;

private:
    void arrive()
    {
        const Milliseconds wait = std::max(Milliseconds(0), std::chrono::duration_cast<Milliseconds>(freeAt_ - now_));
        const Milliseconds expected = wait + prefillTime;
        queue_.didArrive(expected, target, now_);
        const bool isRefused = refuses_ && expected > target && queue_.isStanding(target, now_);
        if (isRefused || expected > callerTimeout) {
            ++refused;
            return;
        }
        freeAt_ = now_ + expected;
        ++(expected <= target ? inTime : late);
    }

    static constexpr Milliseconds prefillTime { 130 };
    static constexpr Milliseconds target { 800 };
    static constexpr Milliseconds callerTimeout { 4800 };
    bool refuses_;
    StandingQueue queue_;
    SteadyTime now_ { std::chrono::hours(1) };
    SteadyTime freeAt_ {};
};

} // namespace

BOOST_AUTO_TEST_SUITE(StandingQueues)

// Prevents an overloaded engine from answering all requests late. Demand moved to a model that only one engine had
// loaded. For the eight seconds until other engines had loaded it, 20 review requests per second arrived at an engine
// that can prefill 7.7. All of them queued: after two seconds none started in time, and many ended at their deadlines.
BOOST_AUTO_TEST_CASE(refusingUnderOverloadKeepsThroughputAndServesMostInTime)
{
    SimulatedEngine queueing(false);
    queueing.offer(20, Milliseconds(8000));
    SimulatedEngine refusing(true);
    refusing.offer(20, Milliseconds(8000));
    BOOST_TEST(queueing.inTime < 15);
    BOOST_TEST(refusing.inTime > 40);
    BOOST_TEST(refusing.inTime + refusing.late > 60);
}

// Prevents refusals after a short burst. Twenty review requests arrive within half a second and then no more than
// usual. All of them are served, in time or late: their queue drains within two seconds, sooner than refused callers
// would retry.
BOOST_AUTO_TEST_CASE(aBurstIsServedWithoutRefusals)
{
    SimulatedEngine engine(true);
    engine.offer(40, Milliseconds(500));
    BOOST_TEST(engine.refused == 0);
    BOOST_TEST(engine.inTime + engine.late == 20);
}

// Prevents refusals right after a load. After a power loss of all engines, thirty chat requests waited for their model,
// which one engine had loaded again after half a second; twenty more per second kept arriving. At 18 ms per prompt the
// queue drained in less than a second, but four in five of the requests that arrived in that second were refused, since
// an answer is in time only within 0.3 s for chats.
BOOST_AUTO_TEST_CASE(requestsThatArriveRightAfterALoadAreServed)
{
    constexpr Milliseconds target(300);
    StandingQueue queue;
    const SteadyTime now { std::chrono::hours(1) };
    for (Milliseconds at(0); at < Milliseconds(800); at += Milliseconds(50)) {
        queue.didArrive(Milliseconds(840) - at / 2, target, now + at);
        BOOST_TEST(!queue.isStanding(target, now + at));
    }
}

BOOST_AUTO_TEST_CASE(aQueueWithoutArrivalsInBetweenIsNotStanding)
{
    constexpr Milliseconds target(800);
    StandingQueue queue;
    const SteadyTime now { std::chrono::hours(1) };
    const auto isStandingAfter = [&](Milliseconds expected, Milliseconds at) {
        queue.didArrive(expected, target, now + at);
        return queue.isStanding(target, now + at);
    };
    BOOST_TEST(!isStandingAfter(Milliseconds(900), Milliseconds(0)));
    BOOST_TEST(!isStandingAfter(Milliseconds(900), Milliseconds(5000)));
    BOOST_TEST(!isStandingAfter(Milliseconds(900), Milliseconds(5500)));
    BOOST_TEST(!isStandingAfter(Milliseconds(900), Milliseconds(5900)));
    BOOST_TEST(isStandingAfter(Milliseconds(900), Milliseconds(6000)));
    // A single arrival that finds the queue below the target doesn't end the standing queue, since it would grow again
    // at once.
    BOOST_TEST(isStandingAfter(Milliseconds(700), Milliseconds(6050)));
    BOOST_TEST(isStandingAfter(Milliseconds(900), Milliseconds(6100)));
    BOOST_TEST(!isStandingAfter(Milliseconds(900), Milliseconds(7000)));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::policy
