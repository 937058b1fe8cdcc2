#include "policy/loadforecast.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using policy::forecastRunning;
using policy::forecastWaiting;
using policy::LoadForecast;
using policy::LoadQueue;
using policy::LoadTimeEstimate;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 1h;
const LoadTimeEstimate loadTime { 20s, 30s, 45s };

LoadQueue queue(std::uint32_t ahead, std::uint32_t running, std::uint32_t slots, double rate)
{
    return { ahead, running, slots, rate, loadTime };
}

bool isHopeless(const LoadForecast& forecast, framework::Milliseconds untilDeadline)
{
    return policy::isHopeless(forecast, framework::Deadline::after(start, untilDeadline), 1s, start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadForecasts)

BOOST_AUTO_TEST_CASE(withoutAQueueTheForecastIsTheLoadItself)
{
    const LoadForecast forecast = forecastWaiting(loadTime, {});
    BOOST_CHECK(forecast.soonest == 20s && forecast.expected == 30s && forecast.latest == 45s);
}

BOOST_AUTO_TEST_CASE(aFreeSlotMeansNoWait)
{
    BOOST_CHECK(forecastWaiting(loadTime, queue(0, 3, 4, 1)).expected == 30s);
}

BOOST_AUTO_TEST_CASE(theWaitIsLimitedBySlotsAndByRate)
{
    const LoadForecast bySlots = forecastWaiting(loadTime, queue(4, 2, 2, 100));
    BOOST_CHECK(bySlots.expected > 60s && bySlots.expected <= 120s);
    const LoadForecast byRate = forecastWaiting(loadTime, queue(10, 0, 100, 0.1));
    BOOST_CHECK(byRate.soonest >= 100s);
}

BOOST_AUTO_TEST_CASE(soonestIsAtMostExpectedAndExpectedAtMostLatest)
{
    for (std::uint32_t ahead = 0; ahead < 20; ++ahead) {
        for (std::uint32_t running = 0; running < 6; ++running) {
            const LoadForecast forecast = forecastWaiting(loadTime, queue(ahead, running, 4, 1.5));
            BOOST_CHECK(forecast.soonest <= forecast.expected && forecast.expected <= forecast.latest);
        }
    }
}

BOOST_AUTO_TEST_CASE(elapsedTimeShortensTheForecastOfARunningLoad)
{
    BOOST_CHECK(forecastRunning(loadTime, 25s).expected == 5s);
    BOOST_CHECK(forecastRunning(loadTime, 25s).soonest == 0s);
}

// Prevents useless retries when a load hangs far beyond its estimate: its callers would be told again and again to
// retry in a moment.
BOOST_AUTO_TEST_CASE(anOverdueLoadIsNotForecastToEndInAMoment)
{
    BOOST_CHECK(forecastRunning(loadTime, 300s).expected > 60s);
}

BOOST_AUTO_TEST_CASE(aRequestIsHopelessOnlyIfEvenTheSoonestEndIsTooLate)
{
    const LoadForecast forecast = forecastWaiting(loadTime, {});
    BOOST_CHECK(isHopeless(forecast, 20s));
    BOOST_CHECK(!isHopeless(forecast, 22s));
}

// Prevents wasted work when twice as many requests arrive as can be served: requests that start just in time end just
// too late, so that the upstreams are busy and nearly every caller gets a refusal at its deadline.
BOOST_AUTO_TEST_CASE(aRequestIsLikelyTooLateUnlessEvenTheLatestEndIsInTime)
{
    const LoadForecast forecast = forecastWaiting(loadTime, {});
    BOOST_CHECK(policy::isLikelyTooLate(forecast, framework::Deadline::after(start, 44s), start));
    BOOST_CHECK(!policy::isLikelyTooLate(forecast, framework::Deadline::after(start, 46s), start));
}

BOOST_AUTO_TEST_CASE(retryAfterIsTheExpectedEndPlusJitter)
{
    const LoadForecast forecast = forecastWaiting(loadTime, {});
    BOOST_CHECK(policy::retryAfterFor(forecast, 0) == 30s);
    BOOST_CHECK(policy::retryAfterFor(forecast, 0.5) == 33s);
    BOOST_CHECK(policy::retryAfterFor({}, 0) == 1s);
}

BOOST_AUTO_TEST_SUITE_END()
