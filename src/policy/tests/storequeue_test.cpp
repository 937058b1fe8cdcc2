#include "policy/storequeue.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::policy {

using framework::Milliseconds;

BOOST_AUTO_TEST_SUITE(StoreQueues)

BOOST_AUTO_TEST_CASE(freeSlotsAreUsedAtOnce)
{
    StoreQueue queue(4, { Milliseconds(5000), Milliseconds(1000) });
    BOOST_TEST(queue.freeSlots() == 2U);
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 6000);
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 6000);
    BOOST_TEST(!queue.hasFreeSlot());
}

BOOST_AUTO_TEST_CASE(furtherLoadsWaitForTheLoadsThatEndFirst)
{
    StoreQueue queue(2, { Milliseconds(5000), Milliseconds(1000) });
    BOOST_TEST(!queue.hasFreeSlot());
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 7000);
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 11000);
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 13000);
}

BOOST_AUTO_TEST_CASE(withMoreLoadsThanSlotsTheFirstToEndFreeNoSlot)
{
    StoreQueue queue(2, { Milliseconds(1000), Milliseconds(2000), Milliseconds(3000), Milliseconds(4000) });
    BOOST_TEST(queue.freeSlots() == 0U);
    BOOST_TEST(queue.add(Milliseconds(6000)).count() == 9000);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::policy
