#include "framework/logging.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <string>

namespace lagoon::framework {

void startLogging(std::string_view processName)
{
    auto layout = std::make_shared<log4cxx::PatternLayout>("%d %p " + std::string(processName) + " %c: %m%n");
    auto appender = std::make_shared<log4cxx::ConsoleAppender>(layout, log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::getInfo());
}

void logInfo(std::string_view module, std::string_view line)
{
    LOG4CXX_INFO(log4cxx::Logger::getLogger(std::string(module)), std::string(line));
}

void logWarning(std::string_view module, std::string_view line)
{
    LOG4CXX_WARN(log4cxx::Logger::getLogger(std::string(module)), std::string(line));
}

} // namespace lagoon::framework
