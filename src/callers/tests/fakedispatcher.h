#pragma once

#include "callers/icaller.h"

#include <condition_variable>
#include <deque>
#include <mutex>

namespace lagoon::callers::testing {

/// A request that the server passed to the dispatcher, with its answer.
struct AcceptedRequest {
    CallerRequest request;
    std::shared_ptr<ICallerAnswer> answer;
};

/// Queues accepted requests until a test takes them.
class FakeDispatcher final : public IRequestDispatcher {
public:
    void accept(CallerRequest request, std::shared_ptr<ICallerAnswer> answer) override
    {
        const std::lock_guard lock(mutex_);
        accepted_.push_back({ std::move(request), std::move(answer) });
        ++count_;
        added_.notify_all();
    }

    /// Blocks until there is a request, and removes it from the queue.
    AcceptedRequest take()
    {
        std::unique_lock lock(mutex_);
        added_.wait(lock, [this] { return !accepted_.empty(); });
        AcceptedRequest first = std::move(accepted_.front());
        accepted_.pop_front();
        return first;
    }

    std::size_t count() const
    {
        const std::lock_guard lock(mutex_);
        return count_;
    }

private:
    mutable std::mutex mutex_;
    std::condition_variable added_;
    std::deque<AcceptedRequest> accepted_;
    std::size_t count_ = 0;
};

} // namespace lagoon::callers::testing
