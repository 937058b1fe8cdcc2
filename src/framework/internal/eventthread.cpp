#include "framework/eventthread.h"

#include "framework/eventloop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <thread>
#include <utility>

namespace lagoon::framework {

namespace {

class AsioTimer final : public Timer {
public:
    AsioTimer(boost::asio::io_context& context, Deadline at, std::function<void()> action)
        : state_(
            std::make_shared<State>(State { boost::asio::steady_timer(context, at.at()), std::move(action), false }))
    {
        // Cancelling an Asio timer that has already expired doesn't stop its handler, so the handler checks a flag.
        state_->timer.async_wait([state = state_](const boost::system::error_code& error) {
            if (error || state->isCancelled)
                return;
            auto action = std::move(state->action);
            action();
        });
    }

    ~AsioTimer() override { stop(); }
    void cancel() override { stop(); }

private:
    struct State {
        boost::asio::steady_timer timer;
        std::function<void()> action;
        bool isCancelled;
    };

    void stop()
    {
        state_->isCancelled = true;
        state_->timer.cancel();
    }

    std::shared_ptr<State> state_;
};

} // namespace

class EventThread::Implementation {
public:
    Implementation()
        : work_(boost::asio::make_work_guard(context))
        , thread_([this] { runEventLoop(context); })
    {
    }

    void stop()
    {
        context.stop();
        if (thread_.joinable())
            thread_.join();
    }

    boost::asio::io_context context;

private:
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::thread thread_;
};

EventThread::EventThread()
    : implementation_(std::make_unique<Implementation>())
{
}

EventThread::~EventThread() { stop(); }

void EventThread::post(std::function<void()> action) { boost::asio::post(context(), std::move(action)); }

std::unique_ptr<Timer> EventThread::runAt(Deadline at, std::function<void()> action)
{
    return std::make_unique<AsioTimer>(context(), at, std::move(action));
}

void EventThread::stop() { implementation_->stop(); }

boost::asio::io_context& EventThread::context() { return implementation_->context; }

} // namespace lagoon::framework
