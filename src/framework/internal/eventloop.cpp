#include "framework/eventloop.h"

#include "framework/logging.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <exception>
#include <string>

namespace lagoon::framework {

namespace {

std::atomic<std::uint64_t> exceptions { 0 };

std::string describeException()
{
    try {
        throw;
    } catch (const std::exception& failure) {
        return failure.what();
    } catch (...) {
        return "not a std::exception";
    }
}

} // namespace

void runEventLoop(boost::asio::io_context& context)
{
    while (true) {
        try {
            context.run();
            return;
        } catch (...) {
            reportException("an event handler");
        }
    }
}

void reportException(std::string_view where) noexcept
{
    ++exceptions;
    try {
        logWarning("framework", std::string(where) + " threw an exception: " + describeException());
    } catch (...) {
        // No memory for the line. The exception is counted.
        return;
    }
}

std::uint64_t reportedExceptions() { return exceptions; }

} // namespace lagoon::framework
