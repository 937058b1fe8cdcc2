#include "support/waitfor.h"

#include <stdexcept>
#include <thread>

namespace lagoon::testsupport {

namespace {

constexpr framework::Milliseconds pollInterval { 10 };

} // namespace

bool isReached(const std::function<bool()>& condition, framework::Milliseconds timeout)
{
    const auto deadline = framework::Deadline::after(std::chrono::steady_clock::now(), timeout);
    while (!condition()) {
        if (deadline.hasPassed(std::chrono::steady_clock::now()))
            return false;
        std::this_thread::sleep_for(pollInterval);
    }
    return true;
}

void waitFor(const std::string& what, const std::function<bool()>& condition)
{
    if (!isReached(condition))
        throw std::runtime_error("timed out waiting for: " + what);
}

} // namespace lagoon::testsupport
