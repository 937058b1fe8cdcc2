#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <boost/test/unit_test.hpp>
#include <type_traits>

using namespace lagoon::framework;

BOOST_AUTO_TEST_SUITE(StrongTypes)

BOOST_AUTO_TEST_CASE(idsOfTwoKindsDoNotConvert)
{
    static_assert(!std::is_convertible_v<ModelName, ServiceName>);
    static_assert(!std::is_convertible_v<std::string, ModelName>);
    BOOST_TEST(ModelName("a") < ModelName("b"));
}

BOOST_AUTO_TEST_CASE(aPassedDeadlineHasNoTimeLeft)
{
    const SteadyTime start {};
    const Deadline deadline = Deadline::after(start, Milliseconds(20));
    BOOST_TEST(deadline.remaining(start).count() == 20);
    BOOST_TEST(deadline.hasPassed(start + Milliseconds(20)));
    BOOST_TEST(deadline.remaining(start + Milliseconds(30)).count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
