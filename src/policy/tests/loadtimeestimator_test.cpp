#include "policy/loadtimeestimator.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace std::chrono_literals;
using framework::MebiBytes;
using policy::CheckpointLocation;
using policy::LoadTimeEstimator;

namespace {

const framework::SteadyTime start = framework::SteadyTime() + 1h;
const MebiBytes memory(30000);

bool isWithin(framework::Milliseconds value, framework::Milliseconds expected, double share)
{
    const double ratio = static_cast<double>(value.count()) / static_cast<double>(expected.count());
    return ratio > 1 - share && ratio < 1 + share;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadTimes)

BOOST_AUTO_TEST_CASE(withoutMeasurementsFartherLocationsTakeLongerAndTheBoundsAreWide)
{
    const LoadTimeEstimator estimator;
    const auto inMemory = estimator.estimate("m", CheckpointLocation::Memory, memory, start);
    const auto onDisk = estimator.estimate("m", CheckpointLocation::Disk, memory, start);
    const auto remote = estimator.estimate("m", CheckpointLocation::Remote, memory, start);
    BOOST_CHECK(inMemory.typical < onDisk.typical && onDisk.typical < remote.typical);
    BOOST_CHECK(remote.low < remote.typical / 2 && remote.high > remote.typical * 2);
}

BOOST_AUTO_TEST_CASE(aTargetsLoadTimesAreLearnedAndKept)
{
    LoadTimeEstimator estimator;
    for (int load = 0; load < 8; ++load)
        estimator.record("m", CheckpointLocation::Disk, memory, 60s, start + load * 20min);
    const auto nextDay = estimator.estimate("m", CheckpointLocation::Disk, memory, start + 24h);
    BOOST_TEST(isWithin(nextDay.typical, 60s, 0.15), nextDay.typical.count());
    BOOST_CHECK(nextDay.high < nextDay.typical * 2);
}

BOOST_AUTO_TEST_CASE(aSlowTargetAffectsOtherTargetsOnlyForAShortTime)
{
    LoadTimeEstimator estimator;
    const auto before = estimator.estimate("other", CheckpointLocation::Disk, memory, start);
    for (int load = 0; load < 8; ++load)
        estimator.record("m", CheckpointLocation::Disk, memory, 60s, start + load * 20min);
    const auto after = estimator.estimate("other", CheckpointLocation::Disk, memory, start + 3h);
    BOOST_TEST(isWithin(after.typical, before.typical, 0.1));
}

BOOST_AUTO_TEST_CASE(aSlowStoreRaisesEstimatesOfOtherTargets)
{
    LoadTimeEstimator estimator;
    for (int load = 0; load < 6; ++load)
        estimator.record("m" + std::to_string(load), CheckpointLocation::Remote, memory, 330s, start + load * 10s);
    const auto other = estimator.estimate("other", CheckpointLocation::Remote, memory, start + 70s);
    BOOST_CHECK(other.typical > 100s);
}

// Prevents callers from waiting until their deadlines for loads that can't be in time: when the weight store has become
// slow, an overdue load shows it before the first slow load ends.
BOOST_AUTO_TEST_CASE(anOverdueLoadRaisesEstimatesOfOtherTargets)
{
    LoadTimeEstimator estimator;
    const auto before = estimator.estimate("other", CheckpointLocation::Remote, memory, start);
    estimator.recordUnfinished("m", CheckpointLocation::Remote, memory, before.typical / 2, start);
    BOOST_CHECK(estimator.estimate("other", CheckpointLocation::Remote, memory, start).typical == before.typical);
    estimator.recordUnfinished("m", CheckpointLocation::Remote, memory, before.typical * 5, start);
    const auto after = estimator.estimate("other", CheckpointLocation::Remote, memory, start);
    BOOST_TEST(isWithin(after.typical, before.typical * 5, 0.05));
}

// Prevents lasting refusals after the weight store was ten times slower for a while. Requests were refused as hopeless,
// so nothing was loaded and nothing measured: if estimates didn't decay, callers would be refused long after the store
// had recovered, until an operator intervened.
BOOST_AUTO_TEST_CASE(aSlowStoreIsForgottenWithoutNewMeasurements)
{
    LoadTimeEstimator estimator;
    const auto before = estimator.estimate("other", CheckpointLocation::Remote, memory, start);
    for (int load = 0; load < 10; ++load)
        estimator.record("m" + std::to_string(load), CheckpointLocation::Remote, memory, 330s, start);
    const auto later = estimator.estimate("other", CheckpointLocation::Remote, memory, start + 30min);
    BOOST_TEST(isWithin(later.typical, before.typical, 0.1));
}

BOOST_AUTO_TEST_SUITE_END()
