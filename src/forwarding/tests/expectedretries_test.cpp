#include "forwarding/expectedretries.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::ModelName;
using framework::ServiceName;
using framework::SteadyTime;

const SteadyTime start { std::chrono::hours(1) };
const ServiceName service("engines");
const ModelName model("chat");

WaitingRequests oneCaller(framework::SteadyTime since)
{
    return { { model, {} }, 1, Deadline::after(since, Milliseconds(2000)), since, 9, {} };
}

struct Fixture {
    /// Refuses one caller at each of these times; each gives up 4 s later.
    void refuse(std::initializer_list<int> milliseconds)
    {
        for (const int at : milliseconds) {
            const SteadyTime moment = start + Milliseconds(at);
            retries.didRefuse(service, oneCaller(moment), Deadline::after(moment, Milliseconds(4000)));
        }
    }

    std::uint32_t count() const
    {
        const auto expected = retries.expected(service);
        return expected.empty() ? 0 : expected.front().waiting;
    }

    ExpectedRetries retries;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExpectedRetriesTests, Fixture)

// Prevents a load from being postponed because all its callers are refused at once. Demand moved to a model that no
// engine had loaded: its callers wait 2 s but its load took 2.1 s, so for 10 s models with one patient caller each were
// loaded before it, and 180 requests were lost.
BOOST_AUTO_TEST_CASE(eachExpectedRetryCountsForTheLoad)
{
    refuse({ 0, 100, 200 });
    BOOST_TEST(count() == 3u);
    BOOST_TEST((retries.expected(service).front().since == start));
    BOOST_TEST(retries.expected(ServiceName("others")).empty());
}

BOOST_AUTO_TEST_CASE(aCallerThatRetriesIsNoLongerExpected)
{
    refuse({ 0, 100 });
    retries.didArrive(service, model);
    BOOST_TEST(count() == 1u);
    retries.didArrive(service, model);
    retries.didArrive(service, model);
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_CASE(aCallerPastItsDeadlineIsNoLongerExpected)
{
    refuse({ 0, 1000 });
    retries.dropExpired(start + Milliseconds(4500));
    BOOST_TEST(count() == 1u);
    retries.dropExpired(start + Milliseconds(5000));
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_CASE(noRetriesAreExpectedOnceTheModelIsLoaded)
{
    refuse({ 0, 100 });
    retries.forget(service, model);
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
