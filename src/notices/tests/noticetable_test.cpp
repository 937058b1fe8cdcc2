#include "notices/noticetable.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace lagoon::notices {

namespace {

using catalog::InstanceId;
using catalog::StartTime;
using catalog::UpstreamRun;
using framework::Milliseconds;
using framework::SteadyTime;

const InstanceId instance("i-1");
const UpstreamRun run { instance, StartTime(100) };
const UpstreamRun laterRun { instance, StartTime(200) };
const UpstreamRun unknownRun { instance, std::nullopt };
const SteadyTime start { std::chrono::hours(1) };

SteadyTime at(int milliseconds) { return start + Milliseconds(milliseconds); }

ServerNotice leaving()
{
    ServerNotice notice;
    notice.isLeaving = true;
    return notice;
}

ServerNotice rest(int milliseconds)
{
    ServerNotice notice;
    notice.rest = Milliseconds(milliseconds);
    return notice;
}

} // namespace

BOOST_AUTO_TEST_SUITE(NoticeTables)

// Prevents a server that said that it leaves from being used again because a later answer doesn't say so.
BOOST_AUTO_TEST_CASE(aServerThatLeavesDoesNotComeBack)
{
    NoticeTable table;
    BOOST_TEST(!table.isLeaving(run));
    BOOST_TEST(table.add(run, leaving(), at(0)).leaves);
    BOOST_TEST(!table.add(run, leaving(), at(10)).leaves);
    table.add(run, {}, at(20));
    BOOST_TEST(table.isLeaving(run));
}

// Prevents a new run from being kept out for what an earlier run under the same id has said.
BOOST_AUTO_TEST_CASE(aNoticeBindsItsRunAlone)
{
    NoticeTable table;
    table.add(run, leaving(), at(0));
    table.add(run, rest(3000), at(0));
    BOOST_TEST(!table.isLeaving(laterRun));
    BOOST_TEST(!table.isResting(laterRun, at(1)));
    BOOST_TEST(!table.isLeaving({ InstanceId("i-2"), StartTime(100) }));
    table.add(laterRun, rest(1000), at(10));
    BOOST_TEST(!table.isLeaving(laterRun));
    // An answer of the earlier run that arrives later.
    table.add(run, leaving(), at(20));
    BOOST_TEST(!table.isLeaving(laterRun));
}

// Prevents an outdated entry, which names an earlier start or none, from bringing a server back that leaves.
BOOST_AUTO_TEST_CASE(aNoticeHoldsForOutdatedEntriesOfItsServer)
{
    NoticeTable table;
    table.add(laterRun, leaving(), at(0));
    BOOST_TEST(table.isLeaving(run));
    BOOST_TEST(table.isLeaving(unknownRun));
}

// Prevents a start time that only becomes known from being taken for a restart.
BOOST_AUTO_TEST_CASE(aNoticeHoldsWhenTheStartTimeBecomesKnown)
{
    NoticeTable table;
    table.add(unknownRun, leaving(), at(0));
    BOOST_TEST(table.isLeaving(run));
    table.add(run, rest(100), at(10));
    BOOST_TEST(table.isLeaving(run));
    BOOST_TEST(!table.isLeaving(laterRun));
}

BOOST_AUTO_TEST_CASE(aRestEndsWithItsTime)
{
    NoticeTable table;
    BOOST_TEST(table.add(run, rest(3000), at(0)).restsLonger);
    BOOST_TEST(table.isResting(run, at(2999)));
    BOOST_TEST(!table.isResting(run, at(3000)));
    BOOST_TEST(!table.isLeaving(run));
}

// Prevents a shorter rest, or none, from ending a longer one that the server asked for before.
BOOST_AUTO_TEST_CASE(theRestThatEndsLastCounts)
{
    NoticeTable table;
    table.add(run, rest(1000), at(0));
    BOOST_TEST(table.add(run, rest(5000), at(100)).restsLonger);
    BOOST_TEST(!table.add(run, rest(200), at(200)).restsLonger);
    table.add(run, rest(0), at(300));
    table.add(run, {}, at(400));
    BOOST_TEST(table.isResting(run, at(5099)));
    BOOST_TEST(!table.isResting(run, at(5100)));
}

// Prevents what a server said from being forgotten while it is missing in the list, and from being kept without end.
BOOST_AUTO_TEST_CASE(noticesOutliveEntriesOfTheList)
{
    NoticeTable table;
    const auto isListed = [](const InstanceId&) { return true; };
    const auto isUnlisted = [](const InstanceId&) { return false; };
    constexpr int hour = 3600 * 1000;
    table.add(run, leaving(), at(0));
    table.expire(isUnlisted, at(hour - 1));
    BOOST_TEST(table.isLeaving(run));
    table.expire(isListed, at(hour + 1));
    BOOST_TEST(table.isLeaving(run));
    table.expire(isUnlisted, at(2 * hour));
    BOOST_TEST(table.isLeaving(run));
    table.expire(isUnlisted, at(2 * hour + 1));
    BOOST_TEST(table.size() == 0u);
    table.add(run, rest(3 * hour), at(0));
    table.expire(isUnlisted, at(2 * hour));
    BOOST_TEST(table.isResting(run, at(2 * hour)));
}

BOOST_AUTO_TEST_CASE(theNumberOfServersIsBounded)
{
    NoticeTable table;
    for (int server = 0; server < 5000; ++server)
        table.add({ InstanceId("i-" + std::to_string(server)), std::nullopt }, leaving(), at(server));
    BOOST_TEST(table.size() == 4096u);
    BOOST_TEST(table.isLeaving({ InstanceId("i-4999"), std::nullopt }));
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::notices
