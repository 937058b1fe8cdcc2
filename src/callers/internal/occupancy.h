#pragma once

#include "callers/internal/calleranswer.h"
#include "callers/types/callerlimits.h"
#include "framework/metrics.h"

#include <condition_variable>
#include <memory>
#include <mutex>

/// Include in .cpp files only.
namespace lagoon::callers {

/// How many requests wait for their answer, and how many have an answer that hasn't left yet. Thread-safe.
class Occupancy final : public IAnswerObserver {
public:
    Occupancy(const CallerLimits&, std::shared_ptr<framework::Metrics>);

    /// Takes a request in; false if one of the limits is passed by it, and it has to be refused at once.
    bool enter();
    void didEndWaiting() override;
    void didEndReply() override;
    void didDeferReply() override;
    void didEndDeferredReply() override;
    void waitUntilEmpty();
    /// Gives up at the deadline; whether it is empty.
    bool waitUntilEmpty(framework::Deadline);
    /// The same, and the refusals that were put off have left as well.
    bool waitUntilAllSent(framework::Deadline);

private:
    void updateMetricsLocked();

    const std::size_t maxWaiting_;
    const std::size_t maxInProgress_;
    const std::shared_ptr<framework::Metrics> metrics_;
    std::mutex mutex_;
    std::condition_variable isEmpty_;
    std::size_t waiting_ = 0;
    std::size_t inProgress_ = 0;
    std::size_t deferred_ = 0;
};

} // namespace lagoon::callers
