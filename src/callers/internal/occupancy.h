#pragma once

#include "callers/internal/calleranswer.h"
#include "callers/types/callerlimits.h"
#include "framework/metrics.h"

#include <condition_variable>
#include <memory>
#include <mutex>

namespace lagoon::callers {

/// Counts the requests that wait for their answer, and those whose answer has not been sent completely. Thread-safe.
class Occupancy final : public IAnswerObserver {
public:
    Occupancy(const CallerLimits&, std::shared_ptr<framework::Metrics>);

    /// Counts a new request. Returns false if it exceeds one of the limits and has to be refused at once.
    bool enter();
    /// Whether a further request would be within the limits.
    bool hasRoom();
    void didEndWaiting() override;
    void didEndReply() override;
    /// Blocks until no request is in progress. Returns false if the deadline passes first.
    bool waitUntilEmpty(framework::Deadline);

private:
    void updateMetricsLocked();

    const std::size_t maxWaiting_;
    const std::size_t maxInProgress_;
    const std::shared_ptr<framework::Metrics> metrics_;
    std::mutex mutex_;
    std::condition_variable ended_;
    std::size_t waiting_ = 0;
    std::size_t inProgress_ = 0;
};

} // namespace lagoon::callers
