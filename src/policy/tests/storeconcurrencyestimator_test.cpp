#include "policy/modelcopies.h"
#include "policy/storeconcurrencyestimator.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::policy {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// Returns the estimate for a store that serves `capacity` loads at full speed. `concurrency` loads are always in
/// progress and are observed every 100 ms.
std::size_t estimatedSlots(double capacity, std::size_t concurrency, int loadsEach)
{
    StoreConcurrencyEstimator estimator;
    SteadyTime now { std::chrono::hours(1) };
    const Milliseconds uncontended(6000);
    const double slowness = std::max(1.0, static_cast<double>(concurrency) / capacity);
    const auto takes = Milliseconds(static_cast<std::int64_t>(6000 * slowness));
    std::map<std::string, Milliseconds> loads;
    for (int load = 0; load < loadsEach; ++load) {
        for (std::size_t engine = 0; engine < concurrency; ++engine)
            loads.emplace(std::to_string(engine) + " " + std::to_string(load), uncontended);
        for (Milliseconds elapsed(0); elapsed < takes; elapsed += Milliseconds(100)) {
            estimator.observe(loads, now);
            now += Milliseconds(100);
        }
        loads.clear();
        estimator.observe(loads, now);
    }
    return estimator.slots();
}

} // namespace

BOOST_AUTO_TEST_SUITE(StoreConcurrencyEstimators)

BOOST_AUTO_TEST_CASE(aStoreWithOneSlotIsDetectedAfterItsFirstLoads) { BOOST_TEST(estimatedSlots(1, 4, 1) == 1U); }

BOOST_AUTO_TEST_CASE(aStoreWithFourSlotsIsEstimatedAtFour)
{
    BOOST_TEST(estimatedSlots(4, 4, 1) >= 4U);
    BOOST_TEST(estimatedSlots(4, 8, 2) == 4U);
}

BOOST_AUTO_TEST_CASE(theEstimateGrowsForAStoreWithMoreSlots) { BOOST_TEST(estimatedSlots(12, 6, 3) > 4U); }

BOOST_AUTO_TEST_CASE(desiredCopiesGrowWithTheWork)
{
    BOOST_TEST(desiredCopies(0) == 1U);
    BOOST_TEST(desiredCopies(0.1) == 1U);
    BOOST_TEST(desiredCopies(0.25) == 2U);
    BOOST_TEST(desiredCopies(1.7) == 4U);
    BOOST_TEST(!isBusyModel(0.1));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::policy
