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
const LoadTimeEstimate usual { 20s, 30s, 45s };

LoadQueue queue(std::uint32_t ahead, std::uint32_t running, std::uint32_t slots, double rate)
{
    return { ahead, running, slots, rate, usual };
}

bool isHopeless(const LoadForecast& forecast, framework::Milliseconds untilDeadline)
{
    return policy::isHopeless(forecast, framework::Deadline::after(start, untilDeadline), 1s, start);
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadForecasts)

BOOST_AUTO_TEST_CASE(withoutAQueueItIsTheLoadItself)
{
    const LoadForecast forecast = forecastWaiting(usual, {});
    BOOST_CHECK(forecast.soonest == 20s && forecast.expected == 30s && forecast.latest == 45s);
}

BOOST_AUTO_TEST_CASE(aFreePlaceMeansNoWait) { BOOST_CHECK(forecastWaiting(usual, queue(0, 3, 4, 1)).expected == 30s); }

BOOST_AUTO_TEST_CASE(theQueueCountsByPlacesAndByRate)
{
    const LoadForecast byPlaces = forecastWaiting(usual, queue(4, 2, 2, 100));
    BOOST_CHECK(byPlaces.expected > 60s && byPlaces.expected <= 120s);
    const LoadForecast byRate = forecastWaiting(usual, queue(10, 0, 100, 0.1));
    BOOST_CHECK(byRate.soonest >= 100s);
}

BOOST_AUTO_TEST_CASE(soonestNeverPassesExpectedNorThatLatest)
{
    for (std::uint32_t ahead = 0; ahead < 20; ++ahead) {
        for (std::uint32_t running = 0; running < 6; ++running) {
            const LoadForecast forecast = forecastWaiting(usual, queue(ahead, running, 4, 1.5));
            BOOST_CHECK(forecast.soonest <= forecast.expected && forecast.expected <= forecast.latest);
        }
    }
}

BOOST_AUTO_TEST_CASE(aRunningLoadNearsItsEnd)
{
    BOOST_CHECK(forecastRunning(usual, 25s).expected == 5s);
    BOOST_CHECK(forecastRunning(usual, 25s).soonest == 0s);
}

// A load hangs far past its estimate. Callers who are told "ready in a moment" again and again come back for nothing.
BOOST_AUTO_TEST_CASE(aRunningLoadThatTakesTooLongIsNotAlmostReadyForever)
{
    BOOST_CHECK(forecastRunning(usual, 300s).expected > 60s);
}

BOOST_AUTO_TEST_CASE(hopelessOnlyIfEvenTheSoonestIsTooLate)
{
    const LoadForecast forecast = forecastWaiting(usual, {});
    BOOST_CHECK(isHopeless(forecast, 20s));
    BOOST_CHECK(!isHopeless(forecast, 22s));
}

// Twice as many requests come as can be served. Those that start just in time end just too late: the upstreams are busy
// and nearly every caller sees a refusal at the deadline.
BOOST_AUTO_TEST_CASE(aQueuePlaceIsRefusedUnlessEvenTheLatestIsInTime)
{
    const LoadForecast forecast = forecastWaiting(usual, {});
    BOOST_CHECK(policy::isLikelyTooLate(forecast, framework::Deadline::after(start, 44s), start));
    BOOST_CHECK(!policy::isLikelyTooLate(forecast, framework::Deadline::after(start, 46s), start));
}

BOOST_AUTO_TEST_CASE(callersComeBackSpreadAfterTheExpectedEnd)
{
    const LoadForecast forecast = forecastWaiting(usual, {});
    BOOST_CHECK(policy::retryAfterFor(forecast, 0) == 30s);
    BOOST_CHECK(policy::retryAfterFor(forecast, 0.5) == 33s);
    BOOST_CHECK(policy::retryAfterFor({}, 0) == 1s);
}

BOOST_AUTO_TEST_SUITE_END()
