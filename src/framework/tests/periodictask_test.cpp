#include "framework/periodictask.h"

#include "framework/testing/manualcontrol.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>

namespace lagoon::framework {

BOOST_AUTO_TEST_SUITE(PeriodicTasks)

BOOST_AUTO_TEST_CASE(theActionRunsAtTheStartAndAfterEachIntervalUntilItIsStopped)
{
    ManualControl control;
    int runs = 0;
    PeriodicTask task(control, control, Milliseconds(100), [&] { ++runs; });
    task.start();
    BOOST_TEST(runs == 1);
    control.advance(Milliseconds(350));
    BOOST_TEST(runs == 4);
    task.stop();
    BOOST_TEST(!task.isStarted());
    control.advance(Milliseconds(350));
    BOOST_TEST(runs == 4);
    task.startAfterInterval();
    BOOST_TEST(runs == 4);
    control.advance(Milliseconds(100));
    BOOST_TEST(runs == 5);
}

// Prevents work that is to be repeated from ending with the first exception.
BOOST_AUTO_TEST_CASE(anActionThatThrowsIsRepeated)
{
    ManualControl control;
    int runs = 0;
    PeriodicTask task(control, control, Milliseconds(100), [&] {
        if (++runs <= 2)
            throw std::runtime_error("a step failed");
    });
    BOOST_CHECK_THROW(task.start(), std::runtime_error);
    BOOST_CHECK_THROW(control.advance(Milliseconds(100)), std::runtime_error);
    control.advance(Milliseconds(200));
    BOOST_TEST(runs == 4);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
