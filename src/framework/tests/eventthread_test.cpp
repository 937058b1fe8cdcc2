#include "framework/eventthread.h"

#include "framework/eventloop.h"
#include "framework/threadquery.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <stdexcept>

namespace lagoon::framework {

BOOST_AUTO_TEST_SUITE(EventThreads)

// Prevents one message whose handler throws from ending the process and all its requests. The parser had thrown on a
// server's report that contained half of a surrogate pair.
BOOST_AUTO_TEST_CASE(aThrowingHandlerStopsNeitherTheThreadNorLaterHandlers)
{
    EventThread thread;
    std::promise<void> afterAction;
    thread.post([] { throw std::runtime_error("an action failed"); });
    thread.post([&] { afterAction.set_value(); });
    afterAction.get_future().wait();
    std::promise<void> afterTimer;
    const auto now = std::chrono::steady_clock::now();
    const auto failing = thread.runAt(Deadline(now), [] { throw std::logic_error("a timer failed"); });
    const auto next = thread.runAt(Deadline::after(now, Milliseconds(1)), [&] { afterTimer.set_value(); });
    afterTimer.get_future().wait();
    thread.stop();
}

// Prevents a handler that throws something other than a std::exception from ending the process.
BOOST_AUTO_TEST_CASE(exceptionsOfAnyTypeCostOneHandlerAndAreCounted)
{
    const std::uint64_t before = reportedExceptions();
    EventThread thread;
    std::promise<void> afterAction;
    thread.post([] { throw 1; });
    thread.post([&] { afterAction.set_value(); });
    afterAction.get_future().wait();
    BOOST_TEST(reportedExceptions() == before + 1);
    thread.stop();
}

// Prevents a shutdown from waiting forever for another thread if one of its steps there throws.
BOOST_AUTO_TEST_CASE(aQueryThatThrowsReturnsWithoutAResult)
{
    EventThread thread;
    BOOST_TEST(!askThread(thread, []() -> int { throw std::runtime_error("no result"); }).has_value());
    BOOST_TEST(askThread(thread, [] { return 5; }).value() == 5);
    thread.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
