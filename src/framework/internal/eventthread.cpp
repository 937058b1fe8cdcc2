#include "framework/eventthread.h"

#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

namespace lagoon::framework {

namespace {

class AsioTimer final : public Timer {
public:
    AsioTimer(boost::asio::io_context& context, Deadline at, std::function<void()> action)
        : state_(
            std::make_shared<State>(State { boost::asio::steady_timer(context, at.at()), std::move(action), false }))
    {
        // Cancelling an asio timer that has already expired doesn't stop its handler; the flag does.
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

EventThread::EventThread()
    : work_(boost::asio::make_work_guard(context_))
    , thread_([this] { context_.run(); })
{
}

EventThread::~EventThread() { stop(); }

void EventThread::post(std::function<void()> action) { boost::asio::post(context_, std::move(action)); }

std::unique_ptr<Timer> EventThread::runAt(Deadline at, std::function<void()> action)
{
    return std::make_unique<AsioTimer>(context_, at, std::move(action));
}

void EventThread::stop()
{
    context_.stop();
    if (thread_.joinable())
        thread_.join();
}

} // namespace lagoon::framework
