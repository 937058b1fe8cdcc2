#include "app/internal/settingsoption.h"

#include "app/icommand.h"

#include <boost/program_options.hpp>
#include <iostream>

namespace lagoon::app {

namespace options = boost::program_options;

SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& words)
{
    SettingsOption parsed;
    options::options_description description("usage: lagoonrouter " + command + " --settings FILE");
    options::options_description_easy_init add = description.add_options();
    add("help", "print this");
    add("settings", options::value<std::string>(&parsed.file), "the settings in JSON; - is standard input");
    try {
        options::variables_map values;
        options::store(options::command_line_parser(words).options(description).run(), values);
        options::notify(values);
        if (values.count("help") > 0) {
            std::cout << description;
            parsed.exitCode = ExitSuccess;
        } else if (parsed.file.empty()) {
            std::cerr << "lagoonrouter " << command << ": --settings is missing\n" << description;
            parsed.exitCode = ExitUsage;
        }
    } catch (const options::error& error) {
        std::cerr << "lagoonrouter " << command << ": " << error.what() << "\n" << description;
        parsed.exitCode = ExitUsage;
    }
    return parsed;
}

} // namespace lagoon::app
