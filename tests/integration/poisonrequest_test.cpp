#include "fleet/crashingfleet.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::fleet;

namespace {

/// A verdict needs this many crashes in succession.
constexpr int crashesToVerdict = 3;

} // namespace

BOOST_FIXTURE_TEST_SUITE(PoisonRequests, CrashingFleet)

// Prevents a request that crashes plain servers from being sent to one server after the other.
BOOST_AUTO_TEST_CASE(aLookupThatCrashesItsServersIsRefused)
{
    const CallerAnswer last = repeat([this](std::size_t) { return lookup("poison"); }, 10);
    BOOST_TEST(crashes() == crashesToVerdict);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.headers.count("Retry-After") == 1u);
    BOOST_TEST(lookup("harmless").status == 200);
}

// Prevents a request that crashes engines from being sent to one engine after the other.
BOOST_AUTO_TEST_CASE(aGenerationThatCrashesItsEnginesIsRefused)
{
    const CallerAnswer last = repeat([this](std::size_t) { return generate("poison"); }, 10);
    BOOST_TEST(crashes() == crashesToVerdict);
    BOOST_TEST(last.status == 503);
    BOOST_TEST(last.headers.count("Retry-After") == 1u);
    BOOST_TEST(generate("harmless").status == 200);
}

// Prevents copies of such a request that arrive at the same time from crashing a server each.
BOOST_AUTO_TEST_CASE(copiesAreTriedOneAtATimeOnceOneHasCrashedAServer)
{
    std::vector<std::future<CallerAnswer>> copies;
    for (int copy = 0; copy < 10; ++copy) {
        const CallerRequest request {
            .target = "/get/1", .attempt = nextAttempt(), .deadlineMs = 8000, .body = "poison"
        };
        copies.push_back(std::async(std::launch::async, [this, request] { return call(request); }));
    }
    for (std::future<CallerAnswer>& copy : copies)
        BOOST_TEST(copy.get().status != 200);
    // The copies that are sent before the first crash may crash both servers.
    BOOST_TEST(crashes() <= crashesToVerdict + 1);
    BOOST_TEST(lookup("poison").status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
