#include "forwarding/internal/answertiming.h"

namespace lagoon::forwarding {

void AnswerTiming::didReceive(framework::SteadyTime now)
{
    if (!firstAt_) {
        firstAt_ = now;
        longest_.beganAt = now;
    } else
        notePause(now);
    lastAt_ = now;
}

std::optional<AnswerTiming::Pause> AnswerTiming::longestPause() const
{
    return firstAt_ ? std::optional(longest_) : std::nullopt;
}

void AnswerTiming::notePause(framework::SteadyTime now)
{
    if (!firstAt_)
        return;
    const auto length = std::chrono::duration_cast<framework::Milliseconds>(now - lastAt_);
    if (length > longest_.length)
        longest_ = { lastAt_, length };
}

} // namespace lagoon::forwarding
