#include "objectstore/backoff.h"
#include "objectstore/internal/callbudget.h"
#include "objectstore/objectstoresettings.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::objectstore;
using framework::ErrorCode;
using framework::Milliseconds;

namespace {

constexpr std::uint64_t seed = 7;

std::string faultOf(const std::string& platformJson)
{
    const auto json = framework::parseJson("{\"platform\":" + platformJson + "}", "s.json", ErrorCode::BadSettings);
    framework::CheckedObject settings(json.value(), "s.json", "", ErrorCode::BadSettings);
    (void)readObjectStoreSettings(settings);
    const auto result = settings.finish();
    return result ? "" : result.error().detail;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformLimits)

BOOST_AUTO_TEST_CASE(delaysDoubleUpToTheLimitAndHonourRetryAfter)
{
    Backoff backoff(Milliseconds(100), Milliseconds(400), seed);
    for (const std::int64_t range : { 100, 200, 400, 400 }) {
        const std::int64_t wait = backoff.next().count();
        BOOST_TEST(wait >= range / 2);
        BOOST_TEST(wait <= range);
    }
    BOOST_TEST(backoff.next(Milliseconds(3000)).count() >= 3200);
    backoff.reset();
    BOOST_TEST(backoff.next().count() <= 100);
}

BOOST_AUTO_TEST_CASE(theCallBudgetAllowsABurstAndThenItsRate)
{
    const framework::SteadyTime start {};
    CallBudget budget(10, 2, start);
    BOOST_TEST(!budget.tryAcquire(start).has_value());
    BOOST_TEST(!budget.tryAcquire(start).has_value());
    BOOST_TEST(budget.tryAcquire(start).value().count() == 100);
    BOOST_TEST(budget.tryAcquire(start + Milliseconds(60)).value().count() == 40);
    BOOST_TEST(!budget.tryAcquire(start + Milliseconds(101)).has_value());
    BOOST_TEST(budget.tryAcquire(start + Milliseconds(101)).has_value());
    // A long idle time fills the bucket up to the burst only.
    const framework::SteadyTime later = start + std::chrono::hours(1);
    BOOST_TEST(!budget.tryAcquire(later).has_value());
    BOOST_TEST(!budget.tryAcquire(later).has_value());
    BOOST_TEST(budget.tryAcquire(later).has_value());
}

BOOST_AUTO_TEST_CASE(settingsAreCheckedByKey)
{
    BOOST_TEST(faultOf(R"({"url":"http://127.0.0.1:1"})").empty());
    BOOST_TEST(faultOf(R"({"url":"http://127.0.0.1:1/x"})").find("platform.url") != std::string::npos);
    BOOST_TEST(faultOf(R"({"url":"127.0.0.1:1"})").find("platform.url") != std::string::npos);
    BOOST_TEST(faultOf("{}").find("platform.url") != std::string::npos);
    BOOST_TEST(faultOf("3").find("platform") != std::string::npos);
    const std::string withUrl = R"({"url":"http://127.0.0.1:1",)";
    BOOST_TEST(faultOf(withUrl + R"("call_timeout_ms":0})").find("platform.call_timeout_ms") != std::string::npos);
    BOOST_TEST(faultOf(withUrl + R"("calls_per_second":-1})").find("platform.calls_per_second") != std::string::npos);
    BOOST_TEST(faultOf(withUrl + R"("call_burst":0.5})").find("platform.call_burst") != std::string::npos);
    BOOST_TEST(faultOf(withUrl + R"("tpyo":1})").find("platform.tpyo") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()
