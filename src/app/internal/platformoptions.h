#pragma once

#include "app/internal/commandline.h"
#include "bundle/signoff.h"
#include "objectstore/objectstoreclient.h"

#include <optional>
#include <string>

namespace lagoon::app {

/// What a command that works at the platform is told: `--platform`, `--timeout` and, if it changes something,
/// `--operator`.
struct PlatformOptions {
    std::string url;
    std::string operatorName;
    /// For the whole command, in seconds.
    unsigned timeout = 60;
};

enum class OperatorOption : std::uint8_t { None, Required };

void addPlatformOptions(CommandLine&, PlatformOptions&, OperatorOption);
/// What is wrong with them, if anything.
std::optional<std::string> validationError(const PlatformOptions&, OperatorOption);

objectstore::ObjectStoreClient connect(const PlatformOptions&);
framework::Deadline deadlineOf(const PlatformOptions&);
/// By the options' operator, now.
bundle::OperatorAct operatorAct(const PlatformOptions&);
/// Prints why it didn't work, and whether it may have all the same. Returns the exit code.
int reportFailure(const framework::Error&);

} // namespace lagoon::app
