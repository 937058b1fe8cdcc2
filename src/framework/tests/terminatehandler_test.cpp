#include "framework/terminatehandler.h"

#include <boost/test/unit_test.hpp>
#include <csignal>
#include <stdexcept>
#include <string>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lagoon::framework {

namespace {

struct ChildEnd {
    int status = 0;
    std::string errorOutput;
};

void callWithoutCatching(void (*action)()) noexcept { action(); }

/// Ends a child process by an exception that nobody catches.
ChildEnd endByException()
{
    int pipeEnds[2];
    BOOST_REQUIRE(pipe(pipeEnds) == 0);
    const pid_t child = fork();
    if (child == 0) {
        const rlimit noCore {};
        setrlimit(RLIMIT_CORE, &noCore);
        std::signal(SIGABRT, SIG_DFL);
        dup2(pipeEnds[1], STDERR_FILENO);
        installTerminateHandler();
        callWithoutCatching([] { throw std::runtime_error("no \"thread\" could be created"); });
    }
    close(pipeEnds[1]);
    ChildEnd end;
    char buffer[1024];
    for (ssize_t size = 0; (size = read(pipeEnds[0], buffer, sizeof(buffer))) > 0;)
        end.errorOutput.append(buffer, static_cast<std::size_t>(size));
    close(pipeEnds[0]);
    waitpid(child, &end.status, 0);
    return end;
}

} // namespace

BOOST_AUTO_TEST_SUITE(TerminateHandler)

// Prevents a process from ending without a structured line that says why.
BOOST_AUTO_TEST_CASE(aProcessThatAnExceptionEndsSaysWhy)
{
    const ChildEnd end = endByException();
    BOOST_TEST(WIFSIGNALED(end.status));
    BOOST_TEST(WTERMSIG(end.status) == SIGABRT);
    BOOST_TEST(end.errorOutput.find("{\"event\":\"terminated\"") == 0);
    BOOST_TEST(end.errorOutput.find("\"cause\":\"no 'thread' could be created\"}\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::framework
