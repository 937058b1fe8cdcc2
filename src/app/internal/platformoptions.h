#pragma once

#include "app/internal/commandline.h"
#include "bundle/signoff.h"
#include "objectstore/objectstoreclient.h"

#include <optional>
#include <string>

namespace lagoon::app {

/// The options of a command that calls the platform: `--platform`, `--timeout` and, if the command changes something,
/// `--operator`.
struct PlatformOptions {
    std::string url;
    std::string operatorName;
    /// The time limit of the whole command, in seconds.
    unsigned timeout = 60;
};

enum class OperatorOption : std::uint8_t { None, Required };

void addPlatformOptions(CommandLine&, PlatformOptions&, OperatorOption);
/// Returns what is wrong with the options; std::nullopt if they are valid.
std::optional<std::string> validationError(const PlatformOptions&, OperatorOption);

objectstore::ObjectStoreClient connect(const PlatformOptions&);
framework::Deadline deadlineOf(const PlatformOptions&);
/// Returns the operator from the options together with the current time.
bundle::OperatorAction operatorAction(const PlatformOptions&);
/// Prints the error, and a warning if the command may have taken effect nevertheless. Returns the exit code.
int reportFailure(const framework::Error&);

} // namespace lagoon::app
