#pragma once

#include <optional>
#include <string>
#include <vector>

namespace lagoon::app {

/// The parsed arguments of a command that takes only `--settings FILE`, by default the file that the environment
/// variable LAGOONROUTER_SETTINGS names, or else /etc/lagoonrouter/settings.toml if it exists.
struct SettingsOption {
    /// Set if the command must not run, as help or a usage error was printed.
    std::optional<int> exitCode;
    std::string file;
};

/// Parses the arguments. Prints help if requested, or what is wrong with them.
SettingsOption parseSettingsOption(const std::string& command, const std::vector<std::string>& arguments);

} // namespace lagoon::app
