#include "app/internal/settingsoption.h"

#include "app/internal/commandline.h"

#include <cstdlib>

namespace lagoon::app {

namespace {

constexpr auto settingsVariable = "LAGOONROUTER_SETTINGS";

} // namespace

SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& arguments)
{
    SettingsOption parsed;
    CommandLine line(command, "[--settings FILE]");
    line.options()("settings", boost::program_options::value(&parsed.file),
        "the settings in JSON; - is standard input. Default: the file that LAGOONROUTER_SETTINGS names");
    parsed.exitCode = line.parse(arguments);
    if (parsed.exitCode || line.has("settings"))
        return parsed;
    if (const char* const file = std::getenv(settingsVariable); file && *file)
        parsed.file = file;
    else
        parsed.exitCode = line.reportUsageError("no --settings FILE, and LAGOONROUTER_SETTINGS isn't set");
    return parsed;
}

} // namespace lagoon::app
