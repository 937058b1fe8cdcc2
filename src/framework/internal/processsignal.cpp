#include "framework/processsignal.h"

#include <csignal>
#include <pthread.h>

namespace lagoon::framework {

namespace {

sigset_t processSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    sigaddset(&signals, SIGHUP);
    return signals;
}

} // namespace

void blockProcessSignals()
{
    const sigset_t signals = processSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // If a peer closes its connection during a write, the write has to return an error instead of ending the process.
    signal(SIGPIPE, SIG_IGN);
}

void unblockProcessSignals()
{
    const sigset_t signals = processSignals();
    pthread_sigmask(SIG_UNBLOCK, &signals, nullptr);
}

std::optional<ProcessSignal> waitForProcessSignal(Milliseconds wait)
{
    const sigset_t signals = processSignals();
    const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(wait);
    timespec timeout {};
    timeout.tv_sec = seconds.count();
    timeout.tv_nsec = std::chrono::nanoseconds(wait - seconds).count();
    const int received = sigtimedwait(&signals, nullptr, &timeout);
    if (received < 0)
        return std::nullopt;
    return received == SIGHUP ? ProcessSignal::Reload : ProcessSignal::Terminate;
}

void waitForTermination()
{
    constexpr Milliseconds pollInterval { 3600 * 1000 };
    while (waitForProcessSignal(pollInterval) != ProcessSignal::Terminate) { }
}

} // namespace lagoon::framework
