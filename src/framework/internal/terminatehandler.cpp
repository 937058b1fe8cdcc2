#include "framework/terminatehandler.h"

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <unistd.h>

namespace lagoon::framework {

namespace {

/// Replaces what would have to be escaped in JSON.
char plain(char character)
{
    if (character == '"' || character == '\\')
        return '\'';
    return static_cast<unsigned char>(character) < ' ' ? ' ' : character;
}

/// Neither allocates nor uses the queue of log lines: both may be why the process ends.
void writeCause(const char* cause)
{
    char text[400] = {};
    for (std::size_t index = 0; index + 1 < sizeof(text) && cause[index] != '\0'; ++index)
        text[index] = plain(cause[index]);
    char line[512];
    const int size
        = std::snprintf(line, sizeof(line), "{\"event\":\"terminated\",\"pid\":%d,\"cause\":\"%s\"}\n", getpid(), text);
    if (size > 0 && ::write(STDERR_FILENO, line, static_cast<std::size_t>(size)) < 0)
        return;
}

[[noreturn]] void terminate()
{
    const std::exception_ptr current = std::current_exception();
    try {
        if (current)
            std::rethrow_exception(current);
        writeCause("std::terminate without an exception");
    } catch (const std::exception& failure) {
        writeCause(failure.what());
    } catch (...) {
        writeCause("an exception that is not a std::exception");
    }
    std::abort();
}

} // namespace

void installTerminateHandler() { std::set_terminate(terminate); }

} // namespace lagoon::framework
