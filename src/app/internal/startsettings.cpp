#include "app/internal/startsettings.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"
#include "framework/processsettings.h"
#include "framework/processsignal.h"

namespace lagoon::app {

namespace {

using framework::Error;
using framework::ErrorCode;
using framework::Result;

constexpr framework::Milliseconds awaitedPollInterval { 50 };

Result<std::string> readCompleteText(const std::string& file)
{
    BOOST_OUTCOME_TRY(text, framework::readSettingsText(file));
    if (text.empty())
        return Error { ErrorCode::BadSettings, "read settings", file, "the file is empty" };
    BOOST_OUTCOME_TRYV(framework::parseJson(text, file, ErrorCode::BadSettings));
    return text;
}

bool isFinal(const std::string& file, std::optional<framework::Deadline> deadline)
{
    return file == "-" || (deadline && deadline->hasPassed(framework::SystemClock().now()));
}

} // namespace

Result<std::optional<std::string>> awaitSettingsText(
    const std::string& file, std::optional<framework::Deadline> deadline, const AwaitedReport& report)
{
    std::string cause;
    while (true) {
        const auto text = readCompleteText(file);
        if (text)
            return std::optional(text.value());
        if (isFinal(file, deadline))
            return text.error();
        if (describe(text.error()) != cause)
            report(text.error());
        cause = describe(text.error());
        if (framework::waitForProcessSignal(awaitedPollInterval) == framework::ProcessSignal::Terminate)
            return std::optional<std::string>();
    }
}

} // namespace lagoon::app
