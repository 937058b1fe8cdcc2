#include "policy/rendezvous.h"
#include "router/internal/answerstream.h"
#include "router/tests/fixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::router;

namespace {

std::vector<std::uint8_t> bytes(const std::string& text) { return { text.begin(), text.end() }; }

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerStreams)

// A link is replaced in the middle of an answer, and the agent resends bytes that had already arrived. The caller must
// receive each byte once.
BOOST_AUTO_TEST_CASE(resentBytesReachTheCallerOnce)
{
    auto answer = std::make_shared<FakeAnswer>();
    AnswerStream stream(answer, 1);
    stream.head(200, {}, {});
    BOOST_TEST(stream.chunk(0, bytes("hello ")));
    BOOST_TEST(stream.chunk(3, bytes("lo world")));
    BOOST_TEST(stream.chunk(0, bytes("hel")));
    BOOST_TEST(answer->body_ == "hello world");
    BOOST_TEST(stream.isComplete(11, policy::fnv1a("hello world", 11)));
}

// A chunk is lost on the way. The bytes after the gap must not be appended to those before it.
BOOST_AUTO_TEST_CASE(bytesAfterAGapAreDropped)
{
    auto answer = std::make_shared<FakeAnswer>();
    AnswerStream stream(answer, 1);
    stream.head(200, {}, {});
    BOOST_TEST(stream.chunk(0, bytes("hello ")));
    BOOST_TEST(!stream.chunk(8, bytes("rld")));
    BOOST_TEST(answer->body_ == "hello ");
    BOOST_TEST(!stream.isComplete(11, policy::fnv1a("hello world", 11)));
}

BOOST_AUTO_TEST_CASE(aCorruptedAnswerIsNotComplete)
{
    AnswerStream stream(std::make_shared<FakeAnswer>(), 1);
    stream.head(200, {}, {});
    BOOST_TEST(stream.chunk(0, bytes("hallo")));
    BOOST_TEST(!stream.isComplete(5, policy::fnv1a("hello", 5)));
}

// The first attempt was given up and a second one started. The late answer of the first must not reach the caller.
BOOST_AUTO_TEST_CASE(aDetachedAttemptSendsNothingToTheCaller)
{
    auto answer = std::make_shared<FakeAnswer>();
    AnswerStream stream(answer, 1);
    BOOST_TEST(!stream.detach());
    stream.head(200, {}, {});
    BOOST_TEST(stream.chunk(0, bytes("late")));
    BOOST_TEST(answer->body_.empty());
    BOOST_TEST(answer->attempt_ == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
