#pragma once

#include "support/childprocess.h"
#include "support/httpcall.h"
#include "support/programs.h"
#include "support/record.h"
#include "support/waitfor.h"

#include <cpprest/json.h>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::testsupport {

/// Where a VM is.
struct VmLocation {
    std::string site = "old";
    std::string failureDomain = "a";
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

/// An upstream VM: the stand-in and the agent beside it.
struct UpstreamOptions {
    UpstreamKind kind = UpstreamKind::Engine;
    VmLocation location = {};
    std::string pool = "engines";
    /// Words of the stand-in's command line, such as `--memory-mib`, `40000`.
    std::vector<std::string> standinArguments = {};
    bool checksFencing = true;
    std::uint64_t settlingMs = 500;
    /// Puts a fault proxy between routers and the agent.
    bool hasLinkProxy = false;
    /// Puts a fault proxy between the agent and its upstream.
    bool hasUpstreamProxy = false;
    /// Keys that the agent's settings have besides.
    web::json::value extraSettings = web::json::value::object();
};

struct RouterOptions {
    VmLocation location = {};
    web::json::value extraSettings = web::json::value::object();
};

/// An entry VM.
struct RouterVm {
    RouterOptions options;
    std::unique_ptr<ChildProcess> process;
    std::string state = "live";

    std::string callers() const { return process->readyText("callers"); }
    std::string ops() const { return process->readyText("ops"); }
};

struct UpstreamVm {
    UpstreamOptions options;
    std::unique_ptr<ChildProcess> standin;
    std::unique_ptr<ChildProcess> linkProxy;
    std::unique_ptr<ChildProcess> upstreamProxy;
    std::unique_ptr<ChildProcess> agent;
    std::string state = "live";

    /// The stand-in's own endpoint, past any proxy.
    std::string upstream() const { return standin->readyText("http"); }
    std::string ops() const { return agent->readyText("ops"); }
    /// What the platform's list says of the agent.
    std::string link() const { return linkProxy ? linkProxy->readyText("proxy") : agent->readyText("link"); }
};

/// The system and its stand-ins as separate processes on loopback. Failures throw std::runtime_error. Everything ends
/// with this object; logs are printed if a test of Boost.Test failed by then.
class Deployment {
public:
    /// Starts the platform and the weight store. `weightStoreArguments` are for the latter's command line.
    explicit Deployment(const std::vector<std::string>& weightStoreArguments = { "--loads-per-second", "100" });
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Starts the VM's processes and enters it into the platform's list.
    UpstreamVm& addUpstream(const std::string& vm, const UpstreamOptions& = {});
    RouterVm& addRouter(const std::string& vm, const RouterOptions& = {});
    /// Starts the process anew on a VM after it ended.
    void restartAgent(const std::string& vm);
    void restartRouter(const std::string& vm);
    /// `live`, `leaving` or `gone`, for the platform's list.
    void setVmState(const std::string& vm, const std::string& state);

    /// Signs a bundle off and rolls it out, as an operator does.
    void rollOut(const std::string& bundleText);
    /// Waits until every router is ready.
    void waitUntilReady();

    RouterVm& router(const std::string& vm) { return routers_.at(vm); }
    UpstreamVm& upstream(const std::string& vm) { return upstreams_.at(vm); }
    /// Endpoints of all stand-ins of a kind.
    std::vector<std::string> upstreams(UpstreamKind) const;
    std::string platform() const { return platform_->readyText("http"); }
    std::string weights() const { return weights_->readyText("http"); }
    const TemporaryFolder& folder() const { return folder_; }

    /// Runs the program's command to its end and returns its exit code; the output comes back by `output`.
    int runCommand(const std::vector<std::string>& arguments, std::string* output = nullptr);

private:
    std::unique_ptr<ChildProcess> start(const std::string& name, Program, const std::vector<std::string>& arguments);
    std::unique_ptr<ChildProcess> startProxy(const std::string& name, const std::string& to, bool hasFrames);
    std::unique_ptr<ChildProcess> startAgent(const std::string& vm, const UpstreamVm&);
    std::unique_ptr<ChildProcess> startRouter(const std::string& vm, const RouterVm&);
    std::unique_ptr<ChildProcess> startWithSettings(const std::string& command, const web::json::value& settings);
    web::json::value commonSettings(const std::string& role, const std::string& vm, const VmLocation&) const;
    void publishVms();

    TemporaryFolder folder_;
    std::uint64_t started_ = 0;
    std::unique_ptr<ChildProcess> platform_;
    std::unique_ptr<ChildProcess> weights_;
    std::map<std::string, RouterVm> routers_;
    std::map<std::string, UpstreamVm> upstreams_;
    /// Logs of the processes that restarts replaced, printed if a test fails.
    std::string replacedProcessLogs_;
};

} // namespace lagoon::testsupport
