#include "framework/workerpool.h"

#include "framework/eventloop.h"

#include <boost/test/unit_test.hpp>
#include <future>
#include <stdexcept>

namespace lagoon::framework {

BOOST_AUTO_TEST_SUITE(WorkerPools)

// Prevents work that throws from ending the process.
BOOST_AUTO_TEST_CASE(anExceptionCostsOnePieceOfWorkAndIsCounted)
{
    const std::uint64_t before = reportedExceptions();
    WorkerPool pool(1);
    std::promise<void> afterWork;
    pool.run([] { throw std::runtime_error("work failed"); });
    pool.run([&] { afterWork.set_value(); });
    afterWork.get_future().wait();
    BOOST_TEST(reportedExceptions() == before + 1);
    pool.stop();
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
