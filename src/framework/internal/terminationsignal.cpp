#include "framework/terminationsignal.h"

#include <csignal>
#include <pthread.h>

namespace lagoon::framework {

namespace {

sigset_t terminationSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    return signals;
}

} // namespace

void holdTerminationSignals()
{
    const sigset_t signals = terminationSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    // A peer that closes while we write must show as an error of that write, not end the process.
    signal(SIGPIPE, SIG_IGN);
}

void waitForTerminationSignal()
{
    const sigset_t signals = terminationSignals();
    int received = 0;
    sigwait(&signals, &received);
}

} // namespace lagoon::framework
