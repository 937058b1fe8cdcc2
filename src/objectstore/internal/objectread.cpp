#include "objectstore/objectread.h"

#include "framework/iclock.h"
#include "framework/randomid.h"
#include "objectstore/backoff.h"

#include <condition_variable>
#include <mutex>

namespace lagoon::objectstore {

namespace {

constexpr framework::Milliseconds initialRetryDelay { 20 };
constexpr framework::Milliseconds maxRetryDelay { 1000 };

} // namespace

bool waitBeforeRetry(framework::Milliseconds wait, framework::Deadline deadline, const std::stop_token& stop)
{
    if (wait >= deadline.remaining(framework::SystemClock().now()))
        return false;
    std::mutex mutex;
    std::condition_variable_any stopped;
    std::unique_lock lock(mutex);
    stopped.wait_for(lock, stop, wait, [] { return false; });
    return !stop.stop_requested();
}

framework::Result<std::optional<StoredObject>> readObject(
    IObjectStore& store, const ObjectKey& key, framework::Deadline deadline, const std::stop_token& stop)
{
    Backoff backoff(initialRetryDelay, maxRetryDelay, framework::randomNumber());
    for (;;) {
        auto read = store.get(key, deadline);
        if (read || read.error().code != framework::ErrorCode::PlatformUnavailable)
            return read;
        if (!waitBeforeRetry(backoff.next(read.error().retryAfter), deadline, stop))
            return read;
    }
}

} // namespace lagoon::objectstore
