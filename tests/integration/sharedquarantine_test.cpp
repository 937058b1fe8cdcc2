#include "fleet/crashingfleet.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::fleet;

namespace {

constexpr int crashesToVerdict = 3;
constexpr std::size_t routers = 3;

/// Three routers, each of which knows all servers.
struct SeveralRouters : CrashingFleet {
    SeveralRouters()
    {
        for (std::size_t router = 1; router < routers; ++router)
            fleet.startRouter(router);
        for (std::size_t router = 0; router < routers; ++router)
            waitUntilServing(router);
    }

    void waitUntilServing(std::size_t router)
    {
        lagoon::testsupport::waitFor(
            "the router to serve", [this, router] { return generate("harmless", router).status == 200; });
    }
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(SharedQuarantine, SeveralRouters)

// Prevents a request that crashes its servers from crashing three more at each router that it arrives at.
BOOST_AUTO_TEST_CASE(crashesSeenByDifferentRoutersCountTogether)
{
    const CallerAnswer last = repeat([this](std::size_t router) { return generate("poison", router); }, 12, routers);
    BOOST_TEST(crashes() == crashesToVerdict);
    BOOST_TEST(last.status == 503);
}

BOOST_AUTO_TEST_SUITE_END()
