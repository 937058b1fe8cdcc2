#pragma once

#include <cstdint>
#include <string_view>

namespace boost::asio {
class io_context;
}

namespace lagoon::framework {

/// Runs handlers until the loop is stopped or out of work. An exception of any type ends only the handler that threw
/// it; it is logged and counted.
void runEventLoop(boost::asio::io_context&);

/// Logs and counts the exception that is being handled. Call in a `catch` block. `where` names what threw it.
void reportException(std::string_view where) noexcept;

/// Runs the action. If it throws, reports the exception and calls `recover`, which arranges the next step of work that
/// would otherwise never go on.
template <typename Action, typename Recover>
void runGuarded(std::string_view where, const Action& action, const Recover& recover)
{
    try {
        action();
    } catch (...) {
        reportException(where);
        recover();
    }
}

/// The number of exceptions that this process has reported.
std::uint64_t reportedExceptions();

} // namespace lagoon::framework
