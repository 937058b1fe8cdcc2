#include "notices/types/servernotice.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace lagoon::notices {

BOOST_AUTO_TEST_SUITE(ServerNotices)

BOOST_AUTO_TEST_CASE(secondsAreReadWithTheirFraction)
{
    BOOST_TEST(parseRest("3")->count() == 3000);
    BOOST_TEST(parseRest(" 0.25 ")->count() == 250);
    BOOST_TEST(parseRest("0.0001")->count() == 1);
    BOOST_TEST(parseRest("0")->count() == 0);
}

// Prevents a value that is out of range from being converted to a number that differs between processors.
BOOST_AUTO_TEST_CASE(aRestThatIsTooLongIsBounded)
{
    BOOST_TEST(parseRest("86400")->count() == maxRest.count());
    BOOST_TEST(parseRest("1000000000000000000000")->count() == maxRest.count());
    BOOST_TEST(parseRest(std::string(400, '9'))->count() == maxRest.count());
    BOOST_TEST(parseRest("0." + std::string(400, '0') + "1")->count() <= 1);
}

// Prevents a value that can't be read from being taken for a rest, or for none of the other fields.
BOOST_AUTO_TEST_CASE(otherValuesAreNotRead)
{
    for (const char* const text : { "", " ", "-1", "+1", "1e3", "nan", "inf", "1,5", "1.2.3", "0x10", "soon", "1 2",
             ".", "Sat, 05 Dec 2026 07:36:00 GMT" })
        BOOST_TEST(!parseRest(text), text);
    ServerNotice notice;
    addRest(notice, "soon");
    BOOST_TEST(notice.isRestUnreadable);
    BOOST_TEST(!notice.rest);
    addRest(notice, "2");
    BOOST_TEST(notice.rest->count() == 2000);
}

BOOST_AUTO_TEST_CASE(theLongestOfSeveralFieldsCounts)
{
    ServerNotice notice;
    addRest(notice, "2");
    addRest(notice, "4");
    addRest(notice, "3");
    BOOST_TEST(notice.rest->count() == 4000);
}

BOOST_AUTO_TEST_CASE(onlyOneMeansThatAServerLeaves)
{
    for (const char* const text : { "", "0", "false", "11" }) {
        ServerNotice notice;
        addLeaving(notice, text);
        BOOST_TEST(!notice.isLeaving, text);
    }
    ServerNotice notice;
    addLeaving(notice, " 1 ");
    addLeaving(notice, "0");
    BOOST_TEST(notice.isLeaving);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::notices
