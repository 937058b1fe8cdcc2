#include "app/internal/settingsoption.h"

#include "app/internal/commandline.h"

namespace lagoon::app {

SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& arguments)
{
    SettingsOption parsed;
    CommandLine line(command, "--settings FILE");
    line.options()("settings", boost::program_options::value(&parsed.file)->required(),
        "the settings in JSON; - is standard input");
    parsed.exitCode = line.parse(arguments);
    return parsed;
}

} // namespace lagoon::app
