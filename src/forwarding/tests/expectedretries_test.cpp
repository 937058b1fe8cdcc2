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
    /// Refused at these moments; each leaves four seconds later.
    void refuse(std::initializer_list<int> milliseconds)
    {
        for (const int at : milliseconds) {
            const SteadyTime moment = start + Milliseconds(at);
            callers.didRefuse(service, oneCaller(moment), Deadline::after(moment, Milliseconds(4000)));
        }
    }

    std::uint32_t count() const
    {
        const auto expected = callers.expected(service);
        return expected.empty() ? 0 : expected.front().waiting;
    }

    ExpectedRetries callers;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallersThatComeBack, Fixture)

// Demand moved to a model that no engine held. Its callers bear two seconds and its load took 2.1, so all were refused
// at once; for ten seconds models with one patient caller each were loaded before it, and 180 requests were lost.
BOOST_AUTO_TEST_CASE(eachOfThemCountsForTheLoad)
{
    refuse({ 0, 100, 200 });
    BOOST_TEST(count() == 3u);
    BOOST_TEST((callers.expected(service).front().since == start));
    BOOST_TEST(callers.expected(ServiceName("others")).empty());
}

BOOST_AUTO_TEST_CASE(whoComesBackIsNotExpectedAnyMore)
{
    refuse({ 0, 100 });
    callers.didArrive(service, model);
    BOOST_TEST(count() == 1u);
    callers.didArrive(service, model);
    callers.didArrive(service, model);
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_CASE(whoHasLeftIsNotExpectedAnyMore)
{
    refuse({ 0, 1000 });
    callers.dropExpired(start + Milliseconds(4500));
    BOOST_TEST(count() == 1u);
    callers.dropExpired(start + Milliseconds(5000));
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_CASE(nobodyIsExpectedOnceTheModelIsThere)
{
    refuse({ 0, 100 });
    callers.forget(service, model);
    BOOST_TEST(count() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
