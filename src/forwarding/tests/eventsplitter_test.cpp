#include "forwarding/eventsplitter.h"

#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

std::string event(int id) { return "id: " + std::to_string(id) + "\ndata: x\n\n"; }

} // namespace

BOOST_AUTO_TEST_SUITE(EventSplitters)

BOOST_AUTO_TEST_CASE(returnsOnlyWholeEvents)
{
    EventSplitter splitter(std::nullopt);
    const std::string both = event(4) + event(5);
    for (std::size_t cut = 0; cut <= both.size(); ++cut) {
        EventSplitter one(std::nullopt);
        const std::string first = one.feed(both.substr(0, cut));
        BOOST_TEST((first.empty() || first == event(4) || first == both));
        BOOST_TEST(first + one.feed(both.substr(cut)) == both);
        BOOST_TEST(!one.hasPartialEvent());
        BOOST_TEST(*one.last() == 5U);
    }
    BOOST_TEST(splitter.feed("id: 1\ndata: ha").empty());
    BOOST_TEST(splitter.hasPartialEvent());
}

BOOST_AUTO_TEST_CASE(acceptsCarriageReturns)
{
    EventSplitter splitter(std::nullopt);
    const std::string one = "id: 1\r\ndata: x\r\n\r\n";
    BOOST_TEST(splitter.feed(one) == one);
    BOOST_TEST(*splitter.last() == 1U);
}

// Prevents a caller from receiving an event twice when the server that resumes a stream begins with an event that has
// already been relayed.
BOOST_AUTO_TEST_CASE(aDuplicateOrMissingEventBreaksTheStream)
{
    EventSplitter twice(7);
    BOOST_TEST(twice.feed(event(7)).empty());
    BOOST_TEST((twice.state() == EventSplitter::State::Broken));
    EventSplitter missing(7);
    BOOST_TEST(missing.feed(event(8) + event(10)) == event(8));
    BOOST_TEST((missing.state() == EventSplitter::State::Broken));
    BOOST_TEST(*missing.last() == 8U);
}

BOOST_AUTO_TEST_CASE(acceptsEventsWithoutIds)
{
    EventSplitter splitter(3);
    BOOST_TEST(splitter.feed("data: x\n\n: comment\n\n") == "data: x\n\n: comment\n\n");
    BOOST_TEST(*splitter.last() == 3U);
}

BOOST_AUTO_TEST_CASE(anUnterminatedEventIsBoundedInMemory)
{
    EventSplitter splitter(std::nullopt);
    for (int part = 0; part < 40; ++part)
        (void)splitter.feed(std::string(64 * 1024, 'x'));
    BOOST_TEST((splitter.state() == EventSplitter::State::Broken));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
