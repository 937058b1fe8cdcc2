#pragma once

#include "framework/types/time.h"

#include <optional>

namespace lagoon::forwarding {

/// When an answer began, and the longest time in which it didn't go on.
class AnswerTiming {
public:
    struct Pause {
        framework::SteadyTime beganAt {};
        framework::Milliseconds length { 0 };
    };

    /// A part of the answer, such as events of a stream, has come.
    void didReceive(framework::SteadyTime now);
    /// The answer has ended, whole or not. A stream that is broken off has paused until then.
    void didEnd(framework::SteadyTime now) { notePause(now); }
    bool hasBegun() const { return firstAt_.has_value(); }
    std::optional<framework::SteadyTime> firstAt() const { return firstAt_; }
    /// std::nullopt before the answer has begun.
    std::optional<Pause> longestPause() const;

private:
    void notePause(framework::SteadyTime now);

    std::optional<framework::SteadyTime> firstAt_;
    framework::SteadyTime lastAt_ {};
    Pause longest_;
};

} // namespace lagoon::forwarding
