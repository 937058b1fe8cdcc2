#include "soak/faultrecord.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::soak;
using lagoon::framework::Milliseconds;
using lagoon::framework::SteadyTime;

namespace {

SteadyTime at(int ms) { return SteadyTime(Milliseconds(ms)); }

/// A failure that the caller was told of, at router 1, sent to one server.
FailedRequest failure()
{
    return { .router = 1, .servers = { "a:1" }, .hasAnswerBegun = true, .sentAt = at(100), .endedAt = at(200) };
}

struct Record {
    void add(const FaultScope& scope, int from, int until) { faults.end(faults.begin(scope, at(from)), at(until)); }
    bool isExcused(const FailedRequest& request) const { return faults.excuseFor(request).has_value(); }

    FaultRecord faults;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(FaultRecords, Record)

BOOST_AUTO_TEST_CASE(aFaultOfTheOwnRouterOrLinkExcuses)
{
    add(FaultScope::router(1), 150, 160);
    BOOST_TEST((faults.excuseFor(failure()) == Excuse::RouterFault));
    FailedRequest other = failure();
    other.router = 0;
    BOOST_TEST(!isExcused(other));
    add(FaultScope::link("a:1"), 150, 160);
    BOOST_TEST((faults.excuseFor(other) == Excuse::LinkFault));
}

// Prevents a lost request from being excused by a fault that can't have struck it.
BOOST_AUTO_TEST_CASE(faultsElsewhereExcuseNothing)
{
    add(FaultScope::router(0), 0, 900);
    add(FaultScope::link("b:1"), 0, 900);
    add(FaultScope::store(), 0, 900);
    BOOST_TEST(!isExcused(failure()));
}

// Prevents a lost request from being excused by a fault that was over or had not begun.
BOOST_AUTO_TEST_CASE(faultsAtOtherTimesExcuseNothing)
{
    add(FaultScope::router(1), 0, 99);
    add(FaultScope::router(1), 201, 300);
    add(FaultScope::link("a:1"), 0, 99);
    BOOST_TEST(!isExcused(failure()));
}

BOOST_AUTO_TEST_CASE(aFaultThatHasNotEndedActs)
{
    faults.begin(FaultScope::router(1), at(50));
    BOOST_TEST(isExcused(failure()));
}

// Prevents a connection that a router closes without an answer from being excused by a server or a link.
BOOST_AUTO_TEST_CASE(onlyTheRouterExcusesNoAnswerAtAll)
{
    FailedRequest request = failure();
    request.hasAnswerBegun = false;
    request.hasServerBrokenOff = true;
    add(FaultScope::link("a:1"), 150, 160);
    BOOST_TEST(!isExcused(request));
    add(FaultScope::router(1), 150, 160);
    BOOST_TEST(isExcused(request));
}

BOOST_AUTO_TEST_CASE(aServerThatBrokeOffExcusesAFailure)
{
    FailedRequest request = failure();
    request.hasServerBrokenOff = true;
    BOOST_TEST((faults.excuseFor(request) == Excuse::ServerBrokeOff));
}

BOOST_AUTO_TEST_SUITE_END()
