#include "ratelimits/limittable.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::ratelimits {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

const ServerRunKey server("i-1");
const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

LimitStatement named(double rate, int milliseconds)
{
    return { server, RequestRate(rate), at(milliseconds), at(milliseconds) };
}

LimitStatement ended(int sentMilliseconds, int heardMilliseconds)
{
    return { server, std::nullopt, at(sentMilliseconds), at(heardMilliseconds) };
}

double allowedAt(const LimitTable& table, int milliseconds)
{
    const auto rate = table.allowed(server, at(milliseconds));
    return rate ? rate->value() : -1;
}

using Change = LimitTable::Change;

} // namespace

BOOST_AUTO_TEST_SUITE(LimitTableCases)

BOOST_AUTO_TEST_CASE(decimalNumbersAreRead)
{
    BOOST_TEST(parseRate("3")->value() == 3);
    BOOST_TEST(parseRate(" 0.4 ")->value() == 0.4);
    BOOST_TEST(parseRate("0")->value() == 0);
    BOOST_TEST(parseRate("12.50")->value() == 12.5);
}

// Prevents a header that can't be read from being taken for a limit, or for none.
BOOST_AUTO_TEST_CASE(otherValuesAreNotRead)
{
    for (const char* const text :
        { "", " ", "-1", "+1", "1e3", "nan", "inf", "1,5", "1.2.3", "0x10", "many", "1 2", "." })
        BOOST_TEST(!parseRate(text), text);
    LimitHeader header;
    addField(header, "many");
    BOOST_TEST(header.isPresent);
    BOOST_TEST(!header.rate);
}

BOOST_AUTO_TEST_CASE(theLowestOfSeveralFieldsCounts)
{
    LimitHeader header;
    addField(header, "4");
    addField(header, "2");
    addField(header, "3");
    BOOST_TEST(header.rate->value() == 2);
}

BOOST_AUTO_TEST_CASE(aServerIsLimitedFromItsFirstStatement)
{
    LimitTable table;
    BOOST_TEST(allowedAt(table, 0) == -1);
    BOOST_TEST((table.add(ended(0, 0)) == Change::None));
    BOOST_TEST((table.add(named(1.5, 10)) == Change::Named));
    BOOST_TEST((table.add(named(1.5, 20)) == Change::None));
    BOOST_TEST((table.add(named(3, 30)) == Change::Changed));
    BOOST_TEST(allowedAt(table, 40) == 3);
    BOOST_TEST(table.named() == 1u);
}

// Prevents an answer that was late on its way from ending a limit that the server named meanwhile.
BOOST_AUTO_TEST_CASE(anAnswerToAnEarlierRequestDoesNotEndTheLimit)
{
    LimitTable table;
    table.add(named(1, 100));
    BOOST_TEST((table.add(ended(90, 200)) == Change::None));
    BOOST_TEST(allowedAt(table, 200) == 1);
    BOOST_TEST((table.add(ended(110, 210)) == Change::Ended));
}

// Prevents a limit that another router heard of earlier from coming back after its end.
BOOST_AUTO_TEST_CASE(anEarlierStatementThatArrivesLaterChangesNothing)
{
    LimitTable table;
    table.add(named(1, 100));
    table.add(ended(200, 250));
    BOOST_TEST((table.add(named(1, 150)) == Change::None));
    BOOST_TEST((table.add(named(1, 300)) == Change::Named));
}

// Prevents a server that names a limit of 0 from never being asked again: only an answer can show the limit's end.
BOOST_AUTO_TEST_CASE(aLimitOfZeroAllowsARequestFromTimeToTime)
{
    LimitTable table;
    table.add(named(0, 0));
    BOOST_TEST(allowedAt(table, 10) > 0);
    BOOST_TEST(allowedAt(table, 10) <= 0.25);
}

// Prevents all requests that have gathered from reaching a server at once when its limit ends.
BOOST_AUTO_TEST_CASE(theRateGrowsGraduallyAfterTheEnd)
{
    LimitTable table;
    table.add(named(4, 0));
    table.add(ended(100, 150));
    BOOST_TEST(allowedAt(table, 150) == 4);
    BOOST_TEST(allowedAt(table, 1150) == 16, boost::test_tools::tolerance(0.01));
    BOOST_TEST(allowedAt(table, 3150) == -1);
}

BOOST_AUTO_TEST_CASE(onlyAFewThousandServersAreRemembered)
{
    LimitTable table;
    for (int index = 0; index < 10000; ++index)
        table.add({ ServerRunKey("i-" + std::to_string(index)), RequestRate(1), at(index), at(index) });
    BOOST_TEST(table.named() <= 4096u);
    BOOST_TEST(table.find(ServerRunKey("i-9999")) != nullptr);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::ratelimits
