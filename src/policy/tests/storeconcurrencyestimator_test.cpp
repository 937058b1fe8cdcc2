#include "policy/modelcopies.h"
#include "policy/storeconcurrencyestimator.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::policy {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// A store that serves `capacity` loads at full speed, with always `together` under way, seen each 100 ms.
std::size_t learned(double capacity, std::size_t together, int loadsEach)
{
    StoreConcurrencyEstimator slots;
    SteadyTime now { std::chrono::hours(1) };
    const Milliseconds undisturbed(6000);
    const double slowness = std::max(1.0, static_cast<double>(together) / capacity);
    const auto takes = Milliseconds(static_cast<std::int64_t>(6000 * slowness));
    std::map<std::string, Milliseconds> loads;
    for (int load = 0; load < loadsEach; ++load) {
        for (std::size_t engine = 0; engine < together; ++engine)
            loads.emplace(std::to_string(engine) + " " + std::to_string(load), undisturbed);
        for (Milliseconds elapsed(0); elapsed < takes; elapsed += Milliseconds(100)) {
            slots.observe(loads, now);
            now += Milliseconds(100);
        }
        loads.clear();
        slots.observe(loads, now);
    }
    return slots.slots();
}

} // namespace

BOOST_AUTO_TEST_SUITE(StorePlacesLearned)

BOOST_AUTO_TEST_CASE(aStoreThatServesOneIsKnownAfterItsFirstLoads) { BOOST_TEST(learned(1, 4, 1) == 1U); }

BOOST_AUTO_TEST_CASE(aStoreThatServesFourKeepsItsPlaces)
{
    BOOST_TEST(learned(4, 4, 1) >= 4U);
    BOOST_TEST(learned(4, 8, 2) == 4U);
}

BOOST_AUTO_TEST_CASE(aStoreThatServesMoreIsFoundOut) { BOOST_TEST(learned(12, 6, 3) > 4U); }

BOOST_AUTO_TEST_CASE(copiesFollowTheWork)
{
    BOOST_TEST(desiredCopies(0) == 1U);
    BOOST_TEST(desiredCopies(0.1) == 1U);
    BOOST_TEST(desiredCopies(0.25) == 2U);
    BOOST_TEST(desiredCopies(1.7) == 4U);
    BOOST_TEST(!isBusyModel(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::policy
