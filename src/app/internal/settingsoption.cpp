#include "app/internal/settingsoption.h"

#include "app/internal/commandline.h"

#include <cstdlib>
#include <filesystem>

namespace lagoon::app {

namespace {

constexpr auto settingsVariable = "LAGOONROUTER_SETTINGS";
constexpr auto defaultFile = "/etc/lagoonrouter/settings.toml";

} // namespace

SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& arguments)
{
    SettingsOption parsed;
    CommandLine line(command, "[--settings FILE]");
    line.options()("settings", boost::program_options::value(&parsed.file),
        "the settings in JSON; - is standard input. Default: the file that LAGOONROUTER_SETTINGS names, "
        "or else /etc/lagoonrouter/settings.toml if it exists");
    parsed.exitCode = line.parse(arguments);
    if (parsed.exitCode || line.has("settings"))
        return parsed;
    const char* const file = std::getenv(settingsVariable);
    if (file && *file)
        parsed.file = file;
    else if (std::filesystem::exists(defaultFile))
        parsed.file = defaultFile;
    else
        parsed.exitCode = line.reportUsageError("no --settings FILE, and LAGOONROUTER_SETTINGS isn't set");
    return parsed;
}

} // namespace lagoon::app
