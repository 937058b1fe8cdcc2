#include "framework/jsonrepair.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::framework {

namespace {

std::string repaired(const std::string& text) { return replaceUnparsableMembers(text, { "content" }, { 1000, 6 }); }

} // namespace

BOOST_AUTO_TEST_SUITE(JsonRepair)

BOOST_AUTO_TEST_CASE(parsableTextIsUnchanged)
{
    for (const std::string text :
        { R"({"a": [1, "content", {"content" : {"b": "}\"{"}}]})", R"("content")", R"({"content":"x"})", "" })
        BOOST_TEST(repaired(text) == text);
}

BOOST_AUTO_TEST_CASE(aTruncatedTextStaysInvalid)
{
    for (const std::string text : { "{", "\"", "\"\\", R"({"content":)", R"({"content")", R"({"content":[)" })
        BOOST_TEST(parseJson(repaired(text), "x", ErrorCode::BadObject).has_error());
}

BOOST_AUTO_TEST_CASE(unparsableValuesBecomeNull)
{
    BOOST_TEST(
        repaired(R"([{"content": NaN , "b":1},{"content":2}])") == R"([{"content": null, "b":1},{"content":2}])");
    BOOST_TEST(repaired("{\"content\":{\"x\":[\"\xff\"]},\"b\":[]}") == R"({"content":null,"b":[]})");
    BOOST_TEST(repaired("{\"content\":\"\\q\"}") == R"({"content":null})");
    BOOST_TEST(repaired("{\"other\":NaN}") == "{\"other\":NaN}");
}

// A value's depth counts from the beginning of the text: otherwise a value within the limit would make the whole text
// exceed the limit.
BOOST_AUTO_TEST_CASE(tooDeepValuesBecomeNull)
{
    BOOST_TEST(repaired(R"([[{"content":[[[1]]]}]])") == R"([[{"content":[[[1]]]}]])");
    BOOST_TEST(repaired(R"([[{"content":[[[[1]]]]}]])") == R"([[{"content":null}]])");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
