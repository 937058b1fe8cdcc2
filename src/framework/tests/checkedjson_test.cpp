#include "framework/checkedjson.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::framework;

namespace {

CheckedObject checked(const std::string& text)
{
    return CheckedObject(
        parseJson(text, "file.json", ErrorCode::BadSettings).value(), "file.json", "", ErrorCode::BadSettings);
}

std::string faultOf(CheckedObject& object)
{
    const Result<void> result = object.finish();
    return result.has_error() ? describe(result.error()) : "";
}

} // namespace

BOOST_AUTO_TEST_SUITE(CheckedJson)

BOOST_AUTO_TEST_CASE(anUnknownKeyIsNamed)
{
    CheckedObject object = checked(R"({"vm": "a", "tpyo": 1})");
    BOOST_TEST(object.text("vm") == "a");
    BOOST_TEST(faultOf(object) == "check JSON at file.json: bad_settings: key \"tpyo\": unknown key");
}

BOOST_AUTO_TEST_CASE(aWrongTypeOrRangeNamesTheExpectedValue)
{
    CheckedObject object = checked(R"({"limits": {"waiting": -3}})");
    object.object("limits").number("waiting", 1, 9);
    BOOST_TEST(
        faultOf(object).find("key \"limits.waiting\": expected a whole number from 1 to 9") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(deepAndLargeTextsAreRefusedBeforeParsing)
{
    const std::string deep(100000, '[');
    BOOST_TEST(parseJson(deep, "x", ErrorCode::BadBundle).has_error());
    const std::string large(2 * 1024 * 1024, ' ');
    BOOST_TEST(parseJson(large, "x", ErrorCode::BadBundle).error().detail.find("larger") != std::string::npos);
}

// Prevents a crash on a text with half of a surrogate pair before an ordinary escape: the parser throws on it instead
// of reporting an error, and the exception ended the process.
BOOST_AUTO_TEST_CASE(aTextOnWhichTheParserThrowsIsRefused)
{
    for (const std::string text : { R"({"a":"\ud800\u0041"})", R"({"\ud800\u0041":1})", R"(["\udbff\ud800"])" })
        BOOST_TEST(parseJson(text, "peer", ErrorCode::BadObject).has_error());
}

// Prevents the same bytes from being read on one kind of processor and refused on another.
BOOST_AUTO_TEST_CASE(textThatIsNotUtf8IsRefused)
{
    for (const std::string bytes : { "\xff", "\xfe", "\x80", "\xc3", "\xe2\x82", "a\xffz" })
        BOOST_TEST(parseJson("{\"a\":\"" + bytes + "\"}", "test", ErrorCode::BadObject).has_error());
    const auto read = parseJson("{\"a\":\"K\xc3\xb6ln \xe2\x82\xac\"}", "test", ErrorCode::BadObject);
    BOOST_REQUIRE(read.has_value());
    BOOST_TEST(read.value().at("a").as_string() == "K\xc3\xb6ln \xe2\x82\xac");
}

BOOST_AUTO_TEST_SUITE_END()
