#include "framework/decisionlog.h"

#include <array>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <future>
#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <thread>

namespace lagoon::framework {

namespace {

/// Set once logging is configured. Until then lines are dropped, so that unit tests print none.
std::atomic<bool> isStarted { false };

/// Closes the queue of lines when the process ends. Closing waits for the queue's writer, which may be blocked by a
/// reader that has stopped reading, so it happens on a thread of its own, which can be abandoned. That thread exists
/// from the start, since a process that has used up its address space can't create one when it ends.
class QueueCloser {
public:
    explicit QueueCloser(log4cxx::AsyncAppenderPtr queue)
    {
        std::thread([queue = std::move(queue), requested = requested_.get_future(), closed = &closed_]() mutable {
            requested.wait();
            try {
                queue->close();
            } catch (...) {
                // The process ends with success even if its last lines are lost.
            }
            closed->set_value();
        }).detach();
    }

    void close(Milliseconds timeout)
    {
        requested_.set_value();
        closed_.get_future().wait_for(timeout);
    }

private:
    std::promise<void> requested_;
    std::promise<void> closed_;
};

/// Set by `startDecisionLog`. Never destroyed, because its thread may still run when the process ends.
QueueCloser* queueCloser = nullptr;

const log4cxx::LoggerPtr& decisionLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("decision");
    return logger;
}

std::string escaped(std::string_view text)
{
    std::string result;
    result.reserve(text.size());
    for (const char character : text) {
        if (character == '"' || character == '\\')
            result += '\\';
        if (static_cast<unsigned char>(character) >= ' ') {
            result += character;
            continue;
        }
        std::array<char, 8> code {};
        std::snprintf(code.data(), code.size(), "\\u%04x", static_cast<unsigned>(character));
        result += code.data();
    }
    return result;
}

} // namespace

LogLine::LogLine(std::string_view event)
    : line_("{\"event\":\"" + escaped(event) + "\"")
{
}

LogLine& LogLine::raw(std::string_view key, std::string_view value)
{
    line_.append(",\"").append(key).append("\":").append(value);
    return *this;
}

LogLine& LogLine::text(std::string_view key, std::string_view value)
{
    const bool isCut = value.size() > maxTextBytes;
    return raw(key, "\"" + escaped(value.substr(0, maxTextBytes)) + (isCut ? "...\"" : "\""));
}

LogLine& LogLine::number(std::string_view key, double value)
{
    if (!std::isfinite(value))
        return raw(key, "null");
    std::array<char, 32> digits {};
    std::snprintf(digits.data(), digits.size(), "%.3f", value);
    return raw(key, digits.data());
}

LogLine& LogLine::flag(std::string_view key, bool value) { return raw(key, value ? "true" : "false"); }

void startDecisionLog(std::string_view processName)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>("%d{HH:mm:ss.SSS} " + std::string(processName) + " %m%n");
    auto console = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemOut());
    auto queue = std::make_shared<log4cxx::AsyncAppender>();
    queue->setBufferSize(maxQueuedLogLines);
    queue->setBlocking(false);
    queue->addAppender(console);
    log4cxx::BasicConfigurator::configure(queue);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
    queueCloser = new QueueCloser(queue);
    isStarted = true;
}

void logDecision(const LogLine& line)
{
    if (isStarted)
        LOG4CXX_INFO(decisionLogger(), line.json());
}

/// Prevents the loss of a process's last log lines, which show how it ended: the queue is written by a thread for which
/// the exit of a process doesn't wait.
void finishDecisionLog(Milliseconds timeout)
{
    if (isStarted.exchange(false))
        queueCloser->close(timeout);
}

} // namespace lagoon::framework
