#pragma once

#include "support/temporaryfolder.h"

#include <cpprest/json.h>
#include <map>
#include <optional>
#include <string>
#include <sys/resource.h>
#include <sys/types.h>
#include <vector>

namespace lagoon::testsupport {

/// The surroundings in which a child process is started.
struct ProcessOptions {
    /// Values of `RLIMIT_*`, for both the soft and the hard limit.
    std::map<int, rlim_t> limits = {};
    /// The whole environment, instead of that of the test.
    std::optional<std::map<std::string, std::string>> environment = {};
    /// Replaces the file for standard output. Stays open in the test.
    std::optional<int> outputDescriptor = {};
};

/// A child process, which the destructor kills if it is still running. The process is also killed when the thread that
/// started it ends, so it must be started on the test's main thread. Failures throw std::runtime_error; if the process
/// does not become ready or does not exit in time, with its log.
class ChildProcess {
public:
    /// `name` stands in error messages and must be unique in the folder, where the files of the process's output are
    /// put.
    ChildProcess(std::string name, const std::string& program, const std::vector<std::string>& arguments,
        const TemporaryFolder&, const ProcessOptions& options = {});
    ~ChildProcess();
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    /// Waits for the ready line, the JSON line on standard output that reports the endpoints.
    void waitUntilReady();
    /// Whether the process has written its ready line.
    bool isReady();
    /// A text field of the ready line, such as an endpoint.
    std::string readyText(const std::string& key) const;

    pid_t pid() const { return pid_; }
    const std::string& name() const { return name_; }
    bool isRunning();
    void sendSignal(int signal);
    /// Sends SIGKILL and waits until the process has ended.
    void kill();
    /// Waits until the process has ended. Returns its exit code, or the negative number of the signal that ended it.
    int waitForExit();

    /// The process's standard output so far.
    std::string output() const;
    /// The process's standard error so far.
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
