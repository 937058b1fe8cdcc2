#include "app/internal/platformoptions.h"

#include "app/icommand.h"
#include "framework/iclock.h"
#include "objectstore/objectstoresettings.h"

#include <algorithm>
#include <cctype>
#include <chrono>
#include <ctime>
#include <iostream>

namespace lagoon::app {

namespace options = boost::program_options;

namespace {

constexpr std::size_t maxOperatorNameLength = 100;
constexpr unsigned maxTimeoutSeconds = 3600;
/// A command is one short process, so it may call the platform at a higher rate than a daemon. The rate is still a
/// fraction of what the platform serves.
constexpr double callsPerSecond = 300;
constexpr framework::Milliseconds callTimeout { 2000 };

std::string utcNow()
{
    const std::time_t now = std::chrono::system_clock::to_time_t(std::chrono::system_clock::now());
    std::tm parts {};
    gmtime_r(&now, &parts);
    char text[sizeof("2026-12-02T20:00:00Z")];
    std::strftime(text, sizeof(text), "%Y-%m-%dT%H:%M:%SZ", &parts);
    return text;
}

bool isOperatorName(const std::string& name)
{
    const auto isControl = [](unsigned char character) { return std::iscntrl(character) != 0; };
    return !name.empty() && name.size() <= maxOperatorNameLength && std::none_of(name.begin(), name.end(), isControl);
}

} // namespace

void addPlatformOptions(CommandLine& line, PlatformOptions& parsed, OperatorOption operatorOption)
{
    auto add = line.options();
    add("platform", options::value(&parsed.url)->required()->value_name("URL"), "the platform's object API");
    add("timeout", options::value(&parsed.timeout)->value_name("SECONDS"),
        "time limit of the whole command; 60 if not given");
    if (operatorOption == OperatorOption::Required)
        add("operator", options::value(&parsed.operatorName)->required()->value_name("NAME"),
            "operator who runs the command");
}

std::optional<std::string> validationError(const PlatformOptions& parsed, OperatorOption operatorOption)
{
    if (!objectstore::isPlatformUrl(parsed.url))
        return "--platform: expected http://address:port without a path";
    if (parsed.timeout == 0 || parsed.timeout > maxTimeoutSeconds)
        return "--timeout: expected 1 to " + std::to_string(maxTimeoutSeconds) + " seconds";
    if (operatorOption == OperatorOption::Required && !isOperatorName(parsed.operatorName))
        return "--operator: expected a name of 1 to " + std::to_string(maxOperatorNameLength) + " characters";
    return std::nullopt;
}

objectstore::ObjectStoreClient connect(const PlatformOptions& parsed)
{
    return objectstore::makeObjectStoreClient(
        { parsed.url, callTimeout, callsPerSecond, callsPerSecond }, std::make_shared<framework::Metrics>());
}

framework::Deadline deadlineOf(const PlatformOptions& parsed)
{
    return framework::Deadline::after(framework::SystemClock().now(), std::chrono::seconds(parsed.timeout));
}

bundle::OperatorAction operatorAction(const PlatformOptions& parsed) { return { parsed.operatorName, utcNow() }; }

int reportFailure(const framework::Error& error)
{
    std::cerr << "lagoonrouter: " << describe(error) << "\n";
    if (error.execution == framework::Execution::Unknown)
        std::cerr << "It is not known whether this took effect, and it may still: see bundle status.\n";
    const bool isBadInput
        = error.code == framework::ErrorCode::BadBundle || error.code == framework::ErrorCode::BadSettings;
    return isBadInput ? ExitUsage : ExitFailure;
}

} // namespace lagoon::app
