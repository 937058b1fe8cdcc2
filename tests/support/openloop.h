#pragma once

#include "support/httpcall.h"

#include <memory>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// How a call ended, and when.
struct TimedAnswer {
    /// What the call belongs to, such as a priority.
    std::string label;
    framework::SteadyTime startedAt {};
    double seconds = 0;
    HttpAnswer answer;

    bool isServed() const { return answer.isComplete() && answer.status == 200; }
};

/// Calls that begin when the caller says, whether or not earlier ones have ended; each on a connection of its own.
/// Unlike `PendingCall`, one takes no thread, so there may be thousands. Answers aren't read until they are whole.
class OpenLoop {
public:
    OpenLoop();
    ~OpenLoop();

    void begin(const HttpCall&, const std::string& label = "");
    std::size_t size() const;
    /// Waits for all ends; in the order of the beginnings.
    std::vector<TimedAnswer> finish();

private:
    struct Call;
    std::vector<std::shared_ptr<Call>> calls_;
};

} // namespace lagoon::testsupport
