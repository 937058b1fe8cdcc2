#include "policy/retrybackoff.h"
#include "policy/retrybudget.h"

#include <boost/test/unit_test.hpp>

using namespace std::chrono_literals;
using lagoon::policy::RetryBackoff;
using lagoon::policy::RetryBudget;

BOOST_AUTO_TEST_SUITE(Retries)

// Prevents retry storms: when all upstreams fail, without a budget each request would be retried up to its limit, which
// would multiply the load just when there is the least capacity for it.
BOOST_AUTO_TEST_CASE(retriesStayWithinTheirShareOfRequests)
{
    RetryBudget budget(0.1, 10);
    int retries = 0;
    for (int request = 0; request < 1000; ++request) {
        budget.earn();
        while (budget.spend())
            ++retries;
    }
    BOOST_TEST((retries >= 100 && retries <= 110), retries);
}

BOOST_AUTO_TEST_CASE(theBudgetHoldsAtMostItsMaximum)
{
    RetryBudget budget(0.1, 3);
    for (int request = 0; request < 1000; ++request)
        budget.earn();
    int retries = 0;
    while (budget.spend())
        ++retries;
    BOOST_TEST(retries == 3);
}

BOOST_AUTO_TEST_CASE(aNewShareAppliesToLaterRequestsAndLeavesTheBalance)
{
    RetryBudget budget(0.1, 10);
    while (budget.spend()) { }
    budget.setShare(0.5);
    BOOST_TEST(budget.balance() < 1);
    budget.earn();
    budget.earn();
    BOOST_TEST(budget.spend());
}

BOOST_AUTO_TEST_CASE(backoffDoublesUpToItsMaximumWithFullJitter)
{
    const RetryBackoff backoff { 100ms, 1000ms };
    BOOST_CHECK(backoff.wait(1, 0) == 0ms);
    BOOST_CHECK(backoff.wait(1, 0.5) == 50ms);
    BOOST_CHECK(backoff.wait(3, 0.5) == 200ms);
    BOOST_CHECK(backoff.wait(60, 0.5) == 500ms);
}

// Prevents routers from exceeding the retry budget after a simultaneous restart: each assumed that it was one of only a
// few routers, and together they sent more than twice the retries that the operators allow.
BOOST_AUTO_TEST_CASE(aLowerMaximumAppliesAtOnce)
{
    RetryBudget budget(0.2, 10);
    budget.setMax(2);
    BOOST_TEST(budget.spend());
    BOOST_TEST(budget.spend());
    BOOST_TEST(!budget.spend());
    for (int request = 0; request < 100; ++request)
        budget.earn();
    BOOST_TEST(budget.balance() == 2);
}

BOOST_AUTO_TEST_SUITE_END()
