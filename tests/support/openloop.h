#pragma once

#include "support/httpcall.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// The answer to a call and its timing.
struct TimedAnswer {
    /// Groups calls for evaluation, for example by priority.
    std::string label;
    framework::SteadyTime startedAt {};
    /// Time from the start of the call to the end of its answer.
    double seconds = 0;
    HttpAnswer answer;

    bool isServed() const { return answer.isComplete() && answer.status == 200; }
};

/// An open-loop load generator: starts each call when it is told to, whether or not earlier calls have ended. Each call
/// has its own connection, but no thread (unlike `PendingCall`), so there may be thousands at once. The body of an
/// answer is available only after its end.
class OpenLoop {
public:
    OpenLoop();
    ~OpenLoop();

    void begin(const HttpCall&, const std::string& label = "");
    std::size_t size() const;
    /// Waits until all calls have ended and returns their answers in the order in which the calls were begun.
    std::vector<TimedAnswer> finish();

private:
    struct Call;
    std::vector<std::shared_ptr<Call>> calls_;
};

} // namespace lagoon::testsupport
