#pragma once

#include "support/temporaryfolder.h"

#include <cpprest/json.h>
#include <optional>
#include <string>
#include <sys/types.h>
#include <vector>

namespace lagoon::testsupport {

/// A process that the test starts, and ends by its id at the latest when this is destroyed. It dies with the thread
/// that started it, so start it from the test's main thread. Failures throw std::runtime_error with the process's log.
class ChildProcess {
public:
    /// `name` is for messages and unique in the folder, which takes the process's output.
    ChildProcess(std::string name, const std::string& program, const std::vector<std::string>& arguments,
        const TemporaryFolder&);
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Waits for the ready line.
    void waitUntilReady();
    /// A text of the ready line, such as an endpoint.
    std::string readyText(const std::string& key) const;

    pid_t pid() const { return pid_; }
    const std::string& name() const { return name_; }
    bool isRunning();
    void sendSignal(int signal);
    /// Ends it at once and waits until it is gone.
    void kill();
    /// The exit code, or the negative number of the signal that ended it.
    int waitForExit();

    /// What it wrote to standard output.
    std::string output() const;
    /// What it wrote to standard error.
    std::string log() const;

private:
    void reap(bool waits);

    std::string name_;
    std::string outputFile_;
    std::string logFile_;
    pid_t pid_ = 0;
    std::optional<int> exit_;
    web::json::value ready_;
};

} // namespace lagoon::testsupport
