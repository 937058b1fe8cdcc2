#include "framework/workerpool.h"

#include "framework/eventloop.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace lagoon::framework {

WorkerPool::WorkerPool(std::size_t threads)
    : pool_(threads)
{
}

WorkerPool::~WorkerPool() { stop(); }

void WorkerPool::run(std::function<void()> work)
{
    boost::asio::post(pool_, [work = std::move(work)] {
        try {
            work();
        } catch (...) {
            reportException("work in a pool");
        }
    });
}

void WorkerPool::stop()
{
    pool_.stop();
    pool_.join();
}

} // namespace lagoon::framework
