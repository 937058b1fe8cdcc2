#pragma once

#include <memory>
#include <string>
#include <vector>

namespace lagoon::app {

/// The program's exit codes.
enum ExitCode : int {
    ExitSuccess = 0,
    ExitFailure = 1, ///< the command was run and failed
    ExitUsage = 2, ///< invalid arguments, settings or bundle; nothing was started
};

/// One subcommand of the program.
class ICommand {
public:
    virtual ~ICommand() = default;
    virtual std::string name() const = 0;
    /// One line for the program's help.
    virtual std::string summary() const = 0;
    /// Whether the command handles SIGHUP and SIGTERM by itself, as those do that run a process.
    virtual bool handlesSignals() const { return false; }
    /// `arguments` are the ones after the command's name. Returns the exit code.
    virtual int run(const std::vector<std::string>& arguments) = 0;
};

using Commands = std::vector<std::unique_ptr<ICommand>>;

} // namespace lagoon::app
