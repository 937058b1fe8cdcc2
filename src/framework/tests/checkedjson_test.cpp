#include "framework/checkedjson.h"

#include <boost/test/unit_test.hpp>
#include <cpprest/json.h>
#include <malloc.h>

using namespace lagoon::framework;

namespace {

CheckedObject checked(const std::string& text)
{
    return CheckedObject(
        parseJson(text, "file.json", ErrorCode::BadSettings).value(), "file.json", "", ErrorCode::BadSettings);
}

std::string arrayOf(const std::string& piece, std::size_t count)
{
    std::string text = "[" + piece;
    for (std::size_t index = 1; index < count; ++index)
        text += "," + piece;
    return text + "]";
}

std::string objectOf(std::size_t members)
{
    std::string text = "{\"\":{}";
    for (std::size_t index = 1; index < members; ++index)
        text += ",\"" + std::to_string(index) + "\":{}";
    return text + "}";
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

// Prevents a text that is small enough from taking many times its size in memory once it is parsed.
BOOST_AUTO_TEST_CASE(textsWhoseValuesTakeTooMuchMemoryAreRefusedBeforeParsing)
{
    const JsonLimits limits { 1024 * 1024, 32, 4 * 1024 * 1024 };
    const std::size_t count = 100000;
    for (const std::string piece : { "1", "{}", "[]", "\"\"", "null" }) {
        const std::string many = arrayOf(piece, count);
        BOOST_TEST(parseJson(many, "peer", ErrorCode::BadObject, limits).has_error());
        BOOST_TEST(parseJson(many, "peer", ErrorCode::BadObject).has_value());
    }
    BOOST_TEST(parseJson("[\"" + std::string(count, ',') + "\"]", "peer", ErrorCode::BadObject, limits).has_value());
}

// Prevents a limit of memory that parsed values exceed, as they take more than it is estimated.
BOOST_AUTO_TEST_CASE(theMemoryOfParsedValuesIsNotUnderestimated)
{
    const std::size_t count = 50000;
    std::vector<std::string> texts { objectOf(count) };
    for (const std::string piece :
        { "1", "-1.5e3", "{}", "[]", "[[]]", "\"\"", "\"abcdefghijklmnopqrstuvwxyz\"", "null", "{\"\":{}}" })
        texts.push_back(arrayOf(piece, count));
    for (const std::string& text : texts) {
        const std::size_t before = mallinfo2().uordblks + mallinfo2().hblkhd;
        const auto parsed = parseJson(text, "peer", ErrorCode::BadObject, { text.size(), 32, text.size() * 1000 });
        const std::size_t used = mallinfo2().uordblks + mallinfo2().hblkhd - before;
        BOOST_REQUIRE(parsed.has_value());
        BOOST_TEST(used <= parsedMemory(text), text.substr(0, 40) << ": " << used);
    }
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
