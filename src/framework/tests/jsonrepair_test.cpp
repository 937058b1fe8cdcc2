#include "framework/jsonrepair.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::framework {

namespace {

std::string readable(const std::string& text) { return replaceUnparsableMembers(text, { "content" }, { 1000, 6 }); }

} // namespace

BOOST_AUTO_TEST_SUITE(JsonRepair)

BOOST_AUTO_TEST_CASE(parsableTextIsUnchanged)
{
    for (const std::string text :
        { R"({"a": [1, "content", {"content" : {"b": "}\"{"}}]})", R"("content")", R"({"content":"x"})", "" })
        BOOST_TEST(readable(text) == text);
}

BOOST_AUTO_TEST_CASE(aTruncatedTextStaysInvalid)
{
    for (const std::string text : { "{", "\"", "\"\\", R"({"content":)", R"({"content")", R"({"content":[)" })
        BOOST_TEST(parseJson(readable(text), "x", ErrorCode::BadObject).has_error());
}

BOOST_AUTO_TEST_CASE(unparsableValuesBecomeNull)
{
    BOOST_TEST(
        readable(R"([{"content": NaN , "b":1},{"content":2}])") == R"([{"content": null, "b":1},{"content":2}])");
    BOOST_TEST(readable("{\"content\":{\"x\":[\"\xff\"]},\"b\":[]}") == R"({"content":null,"b":[]})");
    BOOST_TEST(readable("{\"content\":\"\\q\"}") == R"({"content":null})");
    BOOST_TEST(readable("{\"other\":NaN}") == "{\"other\":NaN}");
}

// A value's depth counts from the beginning of the text: otherwise a value within the limit would make the whole text
// exceed the limit.
BOOST_AUTO_TEST_CASE(tooDeepValuesBecomeNull)
{
    BOOST_TEST(readable(R"([[{"content":[[[1]]]}]])") == R"([[{"content":[[[1]]]}]])");
    BOOST_TEST(readable(R"([[{"content":[[[[1]]]]}]])") == R"([[{"content":null}]])");
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
