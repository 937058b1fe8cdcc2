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

/// The location of a VM, as the platform's list and the settings state it.
struct VmLocation {
    std::string site = "old";
    std::string failureDomain = "a";
};

enum class UpstreamKind : std::uint8_t { Engine, Service };

/// Options of an upstream VM, on which a stand-in for the upstream and its agent run.
struct UpstreamOptions {
    UpstreamKind kind = UpstreamKind::Engine;
    VmLocation location = {};
    std::string pool = "engines";
    /// Command-line arguments of the stand-in, such as `--memory-mib`, `40000`.
    std::vector<std::string> standinArguments = {};
    bool checksFencing = true;
    std::uint64_t settlingMs = 500;
    /// Puts a fault proxy between routers and the agent.
    bool hasLinkProxy = false;
    /// Puts a fault proxy between the agent and its upstream.
    bool hasUpstreamProxy = false;
    /// Settings that are merged into the agent's settings.
    web::json::value extraSettings = web::json::value::object();
};

struct RouterOptions {
    VmLocation location = {};
    web::json::value extraSettings = web::json::value::object();
};

/// A VM on which a router runs.
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

    /// The stand-in's own endpoint, without a proxy.
    std::string upstream() const { return standin->readyText("http"); }
    std::string ops() const { return agent->readyText("ops"); }
    /// The endpoint that the platform's list states for the agent: that of the link proxy if there is one.
    std::string link() const { return linkProxy ? linkProxy->readyText("proxy") : agent->readyText("link"); }
};

/// Runs the system and the stand-ins as separate processes on the loopback interface. Failures throw
/// std::runtime_error. The destructor stops all processes, and prints their logs if the current Boost.Test case has
/// failed.
class Deployment {
public:
    /// Starts the stand-ins for the platform and the weight store; the latter with `weightStoreArguments`.
    explicit Deployment(const std::vector<std::string>& weightStoreArguments = { "--loads-per-second", "100" });
    ~Deployment();
    Deployment(const Deployment&) = delete;
    Deployment& operator=(const Deployment&) = delete;

    /// Sets the surroundings of routers and agents that are started from now on.
    void setProcessOptions(const ProcessOptions& options) { processOptions_ = options; }
    /// Starts the VM's processes and adds the VM to the platform's list.
    UpstreamVm& addUpstream(const std::string& vm, const UpstreamOptions& = {});
    RouterVm& addRouter(const std::string& vm, const RouterOptions& = {});
    /// Replaces the agent of the VM by a new process, with the same settings.
    void restartAgent(const std::string& vm);
    void restartRouter(const std::string& vm);
    /// Starts the stand-in of an upstream again, at the same endpoint.
    void restartUpstream(const std::string& vm);
    /// Sets the VM's state in the platform's list: `live`, `leaving` or `gone`.
    void setVmState(const std::string& vm, const std::string& state);

    /// Signs off a bundle and rolls it out, as an operator does.
    void rollOut(const std::string& bundleText);
    /// Waits until every router is ready.
    void waitUntilReady();

    RouterVm& router(const std::string& vm) { return routers_.at(vm); }
    UpstreamVm& upstream(const std::string& vm) { return upstreams_.at(vm); }
    /// The endpoints of all stand-ins of this kind.
    std::vector<std::string> upstreams(UpstreamKind) const;
    std::string platform() const { return platform_->readyText("http"); }
    std::string weights() const { return weights_->readyText("http"); }
    const TemporaryFolder& folder() const { return folder_; }

    /// Runs a `lagoonrouter` command and returns its exit code. Stores standard output and error in `output`, unless
    /// null.
    int runCommand(const std::vector<std::string>& arguments, std::string* output = nullptr);

private:
    std::unique_ptr<ChildProcess> start(const std::string& name, Program, const std::vector<std::string>& arguments);
    std::unique_ptr<ChildProcess> startProxy(const std::string& name, const std::string& to, bool hasFrames);
    std::unique_ptr<ChildProcess> startStandin(
        const std::string& vm, const UpstreamVm&, std::vector<std::string> arguments);
    std::unique_ptr<ChildProcess> startAgent(const std::string& vm, const UpstreamVm&);
    std::unique_ptr<ChildProcess> startRouter(const std::string& vm, const RouterVm&);
    std::unique_ptr<ChildProcess> startWithSettings(const std::string& command, const web::json::value& settings);
    web::json::value commonSettings(const std::string& role, const std::string& vm, const VmLocation&) const;
    void publishVms();

    TemporaryFolder folder_;
    std::uint64_t started_ = 0;
    ProcessOptions processOptions_;
    std::unique_ptr<ChildProcess> platform_;
    std::unique_ptr<ChildProcess> weights_;
    std::map<std::string, RouterVm> routers_;
    std::map<std::string, UpstreamVm> upstreams_;
    /// The logs of processes that restarts have replaced, printed if a test fails.
    std::string replacedProcessLogs_;
};

} // namespace lagoon::testsupport
