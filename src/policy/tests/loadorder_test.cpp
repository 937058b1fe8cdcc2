#include "policy/policysetup.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using policy::PendingLoad;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 1h;

PendingLoad pending(framework::Milliseconds untilDeadline, std::uint32_t waiters = 1, std::uint8_t priority = 4)
{
    PendingLoad load;
    load.earliestDeadline = framework::Deadline::after(start, untilDeadline);
    load.waiters = waiters;
    load.since = start;
    load.expectedLoad = 10s;
    load.priority = priority;
    return load;
}

std::optional<std::size_t> next(const std::vector<PendingLoad>& loads)
{
    return policy::makeLoadOrder({})->next(loads, start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadOrder)

BOOST_AUTO_TEST_CASE(anEmptyListHasNoNextLoad) { BOOST_CHECK(!next({})); }

BOOST_AUTO_TEST_CASE(theEarlierDeadlineStartsFirst) { BOOST_CHECK(next({ pending(60s), pending(30s) }) == 1U); }

BOOST_AUTO_TEST_CASE(moreWaitersStartFirst) { BOOST_CHECK(next({ pending(60s), pending(60s, 8) }) == 1U); }

BOOST_AUTO_TEST_CASE(higherPriorityStartsFirst) { BOOST_CHECK(next({ pending(60s), pending(60s, 1, 9) }) == 1U); }

BOOST_AUTO_TEST_CASE(aLoadThatCanNotBeInTimeStartsLater) { BOOST_CHECK(next({ pending(5s), pending(60s) }) == 1U); }

BOOST_AUTO_TEST_CASE(theShorterLoadStartsFirst)
{
    PendingLoad brief = pending(60s);
    brief.expectedLoad = 3s;
    BOOST_CHECK(next({ pending(60s), brief }) == 1U);
}

// Prevents starvation: while busy models keep adding urgent loads, a load of low value would never start, and its
// caller would be refused at each retry.
BOOST_AUTO_TEST_CASE(noLoadStarves)
{
    PendingLoad longWaiting = pending(60s, 1, 0);
    longWaiting.since = start - 10min;
    BOOST_CHECK(next({ pending(11s, 50, 9), longWaiting }) == 1U);
}

BOOST_AUTO_TEST_SUITE_END()
