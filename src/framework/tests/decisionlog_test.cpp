#include "framework/decisionlog.h"

#include <boost/test/unit_test.hpp>
#include <string>

using namespace lagoon::framework;

BOOST_AUTO_TEST_SUITE(DecisionLogs)

// Prevents clients that send long ids, hosts or paths from filling the log and the queue of its lines.
BOOST_AUTO_TEST_CASE(longTextsAreCutOff)
{
    const std::string whole(LogLine::maxTextBytes, 'x');
    BOOST_TEST(LogLine("ended").text("id", whole).json() == R"({"event":"ended","id":")" + whole + R"("})");
    BOOST_TEST(LogLine("ended").text("id", whole + "y").json() == R"({"event":"ended","id":")" + whole + R"(..."})");
}

BOOST_AUTO_TEST_SUITE_END()
