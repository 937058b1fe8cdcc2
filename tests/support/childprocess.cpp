#include "support/childprocess.h"

#include "support/waitfor.h"

#include <csignal>
#include <fcntl.h>
#include <stdexcept>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace lagoon::testsupport {

namespace {

constexpr int exitWithoutProgram = 127;

std::vector<char*> pointersTo(std::vector<std::string>& texts)
{
    std::vector<char*> pointers;
    for (std::string& text : texts)
        pointers.push_back(text.data());
    pointers.push_back(nullptr);
    return pointers;
}

std::vector<std::string> environmentOf(const ProcessOptions& options)
{
    std::vector<std::string> variables;
    if (!options.environment) {
        for (char** variable = environ; *variable; ++variable)
            variables.emplace_back(*variable);
        return variables;
    }
    for (const auto& [name, text] : *options.environment)
        variables.push_back(std::string(name).append("=").append(text));
    return variables;
}

/// Runs in the child process: makes only calls that are safe between fork and exec.
[[noreturn]] void execute(
    char* const* arguments, char* const* environment, const ProcessOptions& options, int output, int log)
{
    // Otherwise a test that is killed at its time limit would leave its child processes running.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    dup2(output, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    sigset_t none;
    sigemptyset(&none);
    sigprocmask(SIG_SETMASK, &none, nullptr);
    for (const auto& [resource, value] : options.limits) {
        const rlimit limit { value, value };
        setrlimit(static_cast<__rlimit_resource>(resource), &limit);
    }
    execve(arguments[0], arguments, environment);
    _exit(exitWithoutProgram);
}

int openOutput(const std::string& file)
{
    return ::open(file.c_str(), O_CREAT | O_TRUNC | O_WRONLY | O_APPEND | O_CLOEXEC, 0600);
}

/// The JSON of the first complete line that is an object or the `started` event of the structured log; empty if there
/// is no such line.
std::string findReadyLine(const std::string& output)
{
    std::size_t begin = 0;
    for (std::size_t end = output.find('\n'); end != std::string::npos; end = output.find('\n', begin)) {
        const std::string line = output.substr(begin, end - begin);
        const std::size_t object = line.starts_with('{') ? 0 : line.find("{\"event\":\"started\"");
        if (object != std::string::npos)
            return line.substr(object);
        begin = end + 1;
    }
    return {};
}

} // namespace

ChildProcess::ChildProcess(std::string name, const std::string& program, const std::vector<std::string>& arguments,
    const TemporaryFolder& folder, const ProcessOptions& options)
    : name_(std::move(name))
    , outputFile_(folder.file(name_ + ".out"))
    , logFile_(folder.file(name_ + ".log"))
{
    std::vector<std::string> all { program };
    all.insert(all.end(), arguments.begin(), arguments.end());
    std::vector<std::string> variables = environmentOf(options);
    const std::vector<char*> argumentPointers = pointersTo(all);
    const std::vector<char*> environment = pointersTo(variables);
    const int output = openOutput(outputFile_);
    const int log = openOutput(logFile_);
    pid_ = fork();
    if (pid_ == 0)
        execute(argumentPointers.data(), environment.data(), options, options.outputDescriptor.value_or(output), log);
    ::close(output);
    ::close(log);
    if (pid_ < 0)
        throw std::runtime_error("failed to start a process for " + name_);
}

ChildProcess::~ChildProcess() { kill(); }

void ChildProcess::waitUntilReady()
{
    const bool isFinished = isReached([this] { return isReady() || !isRunning(); });
    if (!isFinished || !isReady())
        throw std::runtime_error(name_ + " did not become ready; its log:\n" + log());
}

bool ChildProcess::isReady()
{
    if (!ready_.is_null())
        return true;
    const std::string line = findReadyLine(output());
    std::error_code error;
    if (!line.empty())
        ready_ = web::json::value::parse(line, error);
    return !ready_.is_null() && !error;
}

std::string ChildProcess::readyText(const std::string& key) const
{
    if (!ready_.has_string_field(key))
        throw std::runtime_error(name_ + " did not report its " + key);
    return ready_.at(key).as_string();
}

void ChildProcess::reap(bool waits)
{
    int status = 0;
    if (exit_ || waitpid(pid_, &status, waits ? 0 : WNOHANG) != pid_)
        return;
    exit_ = WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
}

bool ChildProcess::isRunning()
{
    reap(false);
    return !exit_;
}

void ChildProcess::sendSignal(int signal)
{
    if (isRunning())
        ::kill(pid_, signal);
}

void ChildProcess::kill()
{
    sendSignal(SIGKILL);
    reap(true);
}

int ChildProcess::waitForExit()
{
    if (!isReached([this] { return !isRunning(); }))
        throw std::runtime_error(name_ + " did not exit; its log:\n" + log());
    return *exit_;
}

std::string ChildProcess::output() const { return readFile(outputFile_); }

std::string ChildProcess::log() const { return readFile(logFile_); }

} // namespace lagoon::testsupport
