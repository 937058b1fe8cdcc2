#include "ratelimits/permitqueue.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

const PermitClient client(1);
const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

PermitRequest request(std::uint64_t number, int askedAt, int neededBy, std::uint32_t priority = 1)
{
    return { { client, PermitNumber(number) }, priority, at(askedAt), Deadline(at(neededBy)) };
}

PermitId idOf(std::uint64_t number) { return { client, PermitNumber(number) }; }

/// A queue that has just granted all that it had.
PermitQueue emptyQueue()
{
    PermitQueue queue;
    queue.decide(RequestRate(2), at(0));
    return queue;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PermitQueueCases)

BOOST_AUTO_TEST_CASE(permitsAreGrantedAtTheRate)
{
    PermitQueue queue = emptyQueue();
    int granted = 0;
    for (int time = 0; time <= 10000; time += 10) {
        for (const PermitDecision& decision :
            queue.ask(request(static_cast<std::uint64_t>(time) + 1, time, time), RequestRate(2), at(time)))
            granted += decision.isGranted ? 1 : 0;
    }
    BOOST_TEST(granted >= 19);
    BOOST_TEST(granted <= 21);
}

// Prevents a burst of requests to a server that hasn't been asked for long.
BOOST_AUTO_TEST_CASE(permitsDoNotAddUpOverAPause)
{
    PermitQueue queue = emptyQueue();
    int granted = 0;
    for (std::uint64_t number = 1; number <= 100; ++number) {
        for (const PermitDecision& decision : queue.ask(request(number, 60000, 60000), RequestRate(2), at(60000)))
            granted += decision.isGranted ? 1 : 0;
    }
    BOOST_TEST(granted == 1);
}

BOOST_AUTO_TEST_CASE(aRequestWaitsForItsTurn)
{
    PermitQueue queue = emptyQueue();
    BOOST_TEST(queue.ask(request(1, 0, 1000), RequestRate(2), at(0)).empty());
    BOOST_TEST((queue.nextDecision(RequestRate(2)) == Deadline(at(500))));
    BOOST_TEST(queue.decide(RequestRate(2), at(499)).empty());
    const auto decisions = queue.decide(RequestRate(2), at(500));
    BOOST_REQUIRE(decisions.size() == 1u);
    BOOST_TEST(decisions.front().isGranted);
    BOOST_TEST(decisions.front().waited.count() == 500);
}

// Prevents requests from waiting for a turn that comes too late, and untrue times to come back.
BOOST_AUTO_TEST_CASE(aRequestWhoseTurnComesTooLateIsDeniedAtOnce)
{
    PermitQueue queue = emptyQueue();
    BOOST_TEST(queue.ask(request(1, 0, 1000), RequestRate(2), at(0)).empty());
    BOOST_TEST(queue.ask(request(2, 0, 1000), RequestRate(2), at(0)).empty());
    const auto decisions = queue.ask(request(3, 0, 1000), RequestRate(2), at(0));
    BOOST_REQUIRE(decisions.size() == 1u);
    BOOST_TEST(!decisions.front().isGranted);
    BOOST_TEST(decisions.front().retryAfter.count() == 1500);
}

// Prevents patient requests of less urgent routes from taking all permits.
BOOST_AUTO_TEST_CASE(aMoreUrgentRequestGoesFirst)
{
    PermitQueue queue = emptyQueue();
    BOOST_TEST(queue.ask(request(1, 0, 500, 2), RequestRate(2), at(0)).empty());
    const auto displaced = queue.ask(request(2, 10, 1000, 0), RequestRate(2), at(10));
    BOOST_REQUIRE(displaced.size() == 1u);
    BOOST_TEST((displaced.front().id == idOf(1)));
    BOOST_TEST(!displaced.front().isGranted);
    const auto granted = queue.decide(RequestRate(2), at(500));
    BOOST_REQUIRE(granted.size() == 1u);
    BOOST_TEST((granted.front().id == idOf(2)));
}

BOOST_AUTO_TEST_CASE(aPermitThatIsGivenBackIsGrantedAgain)
{
    PermitQueue queue = emptyQueue();
    BOOST_TEST(queue.ask(request(1, 500, 500), RequestRate(2), at(500)).front().isGranted);
    queue.withdraw(idOf(1), RequestRate(2), at(510));
    BOOST_TEST(queue.ask(request(2, 520, 520), RequestRate(2), at(520)).front().isGranted);
    // Only once.
    queue.withdraw(idOf(1), RequestRate(2), at(530));
    BOOST_TEST(!queue.ask(request(3, 540, 540), RequestRate(2), at(540)).front().isGranted);
}

// Prevents a request that asks for a permit at once from being denied because its question took a moment.
BOOST_AUTO_TEST_CASE(aQuestionThatTookAMomentIsGranted)
{
    PermitQueue queue = emptyQueue();
    BOOST_TEST(queue.ask(request(1, 500, 499), RequestRate(2), at(500)).front().isGranted);
    BOOST_TEST(!queue.ask(request(2, 1000, 500), RequestRate(2), at(1000)).front().isGranted);
}

BOOST_AUTO_TEST_CASE(withdrawnRequestsAndThoseOfAClientThatIsGoneAreSkipped)
{
    PermitQueue queue = emptyQueue();
    queue.ask(request(1, 0, 5000), RequestRate(2), at(0));
    queue.ask({ { PermitClient(2), PermitNumber(1) }, 1, at(1), Deadline(at(5000)) }, RequestRate(2), at(1));
    queue.ask(request(3, 2, 5000), RequestRate(2), at(2));
    queue.withdraw(idOf(1), RequestRate(2), at(3));
    queue.forgetClient(PermitClient(2));
    const auto granted = queue.decide(RequestRate(2), at(500));
    BOOST_REQUIRE(granted.size() == 1u);
    BOOST_TEST((granted.front().id == idOf(3)));
}

BOOST_AUTO_TEST_CASE(theQueueIsBounded)
{
    PermitQueue queue = emptyQueue();
    for (std::uint64_t number = 1; number <= 5000; ++number)
        queue.ask(request(number, 0, 100000000), RequestRate(2), at(0));
    BOOST_TEST(queue.waiting() <= 1024u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::ratelimits
