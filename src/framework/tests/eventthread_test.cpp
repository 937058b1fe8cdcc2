#include "framework/eventthread.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <stdexcept>

namespace lagoon::framework {

BOOST_AUTO_TEST_SUITE(EventThreads)

// One line of a server's report had half a character in it, and the reader of it threw. The exception ended the
// process, and with it every request that waited there: one message that can't be handled cost all callers their
// answers.
BOOST_AUTO_TEST_CASE(aThrowingHandlerStopsNeitherTheThreadNorLaterHandlers)
{
    EventThread thread;
    std::promise<void> afterAction;
    thread.post([] { throw std::runtime_error("can't be read"); });
    thread.post([&] { afterAction.set_value(); });
    afterAction.get_future().wait();
    std::promise<void> afterTimer;
    const auto now = std::chrono::steady_clock::now();
    const auto failing = thread.runAt(Deadline(now), [] { throw std::logic_error("nor this"); });
    const auto next = thread.runAt(Deadline::after(now, Milliseconds(1)), [&] { afterTimer.set_value(); });
    afterTimer.get_future().wait();
    thread.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
