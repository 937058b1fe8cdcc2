#include "support/deployment.h"

#include "bundle/bundletext.h"
#include "bundle/rollout.h"
#include "objectstore/objectstoreclient.h"

#include <boost/test/results_collector.hpp>
#include <boost/test/unit_test.hpp>
#include <iostream>

namespace lagoon::testsupport {

using web::json::value;

namespace {

const std::string anyPort = "127.0.0.1:0";

value jsonString(const std::string& content) { return value::string(content); }

void mergeSettings(value& json, const value& more)
{
    for (const auto& [key, part] : more.as_object()) {
        if (part.is_object() && json.has_object_field(key))
            mergeSettings(json[key], part);
        else
            json[key] = part;
    }
}

value vmJson(const std::string& vm, const std::string& role, const std::string& state, const VmLocation& location)
{
    value json;
    json["vm"] = jsonString(vm);
    json["role"] = jsonString(role);
    json["state"] = jsonString(state);
    json["site"] = jsonString(location.site);
    json["failure_domain"] = jsonString(location.failureDomain);
    return json;
}

bool hasTestFailed()
{
    namespace unittest = boost::unit_test;
    if (std::uncaught_exceptions() > 0)
        return true;
    // Benchmarks and the demonstration use this class outside of Boost.Test.
    if (!unittest::framework::test_in_progress())
        return false;
    const auto& test = unittest::framework::current_test_case();
    return !unittest::results_collector.results(test.p_id).passed();
}

template <typename Value> void throwIfFailed(const framework::Result<Value>& result)
{
    if (result.has_error())
        throw std::runtime_error(framework::describe(result.error()));
}

std::string formatLog(const ChildProcess* process)
{
    return process ? "--- " + process->name() + "\n" + process->log() : std::string();
}

void printLog(const ChildProcess* process) { std::cerr << formatLog(process); }

void printAgentStatus(const std::string& ops)
{
    try {
        std::cerr << getFrom(ops, "/status").body << "\n";
    } catch (const std::exception& error) {
        std::cerr << "failed to get the agent's status: " << error.what() << "\n";
    }
}

} // namespace

Deployment::Deployment(const std::vector<std::string>& weightStoreArguments)
    : platform_(start("platform", Program::PlatformStandin, {}))
    , weights_(start("weights", Program::WeightStandin, weightStoreArguments))
{
}

Deployment::~Deployment()
{
    if (!hasTestFailed())
        return;
    std::cerr << replacedProcessLogs_;
    for (const auto& [vm, router] : routers_)
        printLog(router.process.get());
    for (const auto& [vm, upstream] : upstreams_) {
        printLog(upstream.standin.get());
        printLog(upstream.agent.get());
        if (upstream.agent && upstream.agent->isRunning())
            printAgentStatus(upstream.ops());
    }
}

std::unique_ptr<ChildProcess> Deployment::start(
    const std::string& name, Program program, const std::vector<std::string>& arguments)
{
    const ProcessOptions options = program == Program::Lagoonrouter ? processOptions_ : ProcessOptions();
    return startProgram(program, name + "." + std::to_string(++started_), arguments, folder_, options);
}

std::unique_ptr<ChildProcess> Deployment::startProxy(const std::string& name, const std::string& to, bool hasFrames)
{
    std::vector<std::string> arguments { "--to", to };
    if (hasFrames)
        arguments.push_back("--frames");
    return start(name, Program::FaultProxy, arguments);
}

std::unique_ptr<ChildProcess> Deployment::startWithSettings(const std::string& command, const value& settings)
{
    const std::string name = settings.at("vm").as_string() + "-" + command;
    const std::string file = folder_.file(name + ".json");
    writeFile(file, settings.serialize());
    return start(name, Program::Lagoonrouter, { command, "--settings", file });
}

value Deployment::commonSettings(const std::string& role, const std::string& vm, const VmLocation& location) const
{
    value settings;
    settings["role"] = jsonString(role);
    settings["vm"] = jsonString(vm);
    settings["site"] = jsonString(location.site);
    settings["failure_domain"] = jsonString(location.failureDomain);
    settings["link"] = jsonString(anyPort);
    settings["ops"] = jsonString(anyPort);
    settings["platform"]["url"] = jsonString(urlOf(platform(), ""));
    return settings;
}

std::unique_ptr<ChildProcess> Deployment::startAgent(const std::string& vm, const UpstreamVm& upstream)
{
    const UpstreamOptions& options = upstream.options;
    const bool isEngine = options.kind == UpstreamKind::Engine;
    value settings = commonSettings("agent", vm, options.location);
    settings["pool"] = jsonString(options.pool);
    settings["upstream"]["kind"] = jsonString(isEngine ? "engine" : "service");
    const std::string endpoint
        = upstream.upstreamProxy ? upstream.upstreamProxy->readyText("proxy") : upstream.upstream();
    settings["upstream"]["url"] = jsonString(urlOf(endpoint, ""));
    if (isEngine) {
        settings["upstream"]["checks_fencing"] = value::boolean(options.checksFencing);
        settings["upstream"]["settling_ms"] = value::number(options.settlingMs);
    }
    mergeSettings(settings, options.extraSettings);
    return startWithSettings("agent", settings);
}

std::unique_ptr<ChildProcess> Deployment::startRouter(const std::string& vm, const RouterVm& router)
{
    value settings = commonSettings("router", vm, router.options.location);
    settings["callers"] = jsonString(anyPort);
    mergeSettings(settings, router.options.extraSettings);
    return startWithSettings("router", settings);
}

UpstreamVm& Deployment::addUpstream(const std::string& vm, const UpstreamOptions& options)
{
    UpstreamVm& upstream = upstreams_[vm];
    upstream.options = options;
    upstream.standin = startStandin(vm, upstream, {});
    if (options.hasUpstreamProxy)
        upstream.upstreamProxy = startProxy(vm + "-upstreamproxy", upstream.upstream(), false);
    upstream.agent = startAgent(vm, upstream);
    if (options.hasLinkProxy)
        upstream.linkProxy = startProxy(vm + "-linkproxy", upstream.agent->readyText("link"), true);
    publishVms();
    return upstream;
}

std::unique_ptr<ChildProcess> Deployment::startStandin(
    const std::string& vm, const UpstreamVm& upstream, std::vector<std::string> arguments)
{
    const UpstreamOptions& options = upstream.options;
    arguments.insert(arguments.end(), options.standinArguments.begin(), options.standinArguments.end());
    const bool isEngine = options.kind == UpstreamKind::Engine;
    if (isEngine) {
        arguments.insert(arguments.end(), { "--weights", urlOf(weights(), "") });
        arguments.insert(arguments.end(), { "--checks-fencing", options.checksFencing ? "1" : "0" });
    }
    return start(vm + "-upstream", isEngine ? Program::EngineStandin : Program::ServiceStandin, arguments);
}

void Deployment::restartUpstream(const std::string& vm)
{
    UpstreamVm& upstream = upstreams_.at(vm);
    const std::string endpoint = upstream.upstream();
    replacedProcessLogs_ += formatLog(upstream.standin.get());
    upstream.standin = startStandin(vm, upstream, { "--listen", endpoint });
}

RouterVm& Deployment::addRouter(const std::string& vm, const RouterOptions& options)
{
    RouterVm& router = routers_[vm];
    router.options = options;
    router.process = startRouter(vm, router);
    publishVms();
    return router;
}

void Deployment::restartAgent(const std::string& vm)
{
    UpstreamVm& upstream = upstreams_.at(vm);
    replacedProcessLogs_ += formatLog(upstream.agent.get());
    upstream.agent = startAgent(vm, upstream);
    if (upstream.linkProxy)
        setFaults(upstream.linkProxy->readyText("http"), R"({"to":")" + upstream.agent->readyText("link") + "\"}");
    publishVms();
}

void Deployment::restartRouter(const std::string& vm)
{
    RouterVm& router = routers_.at(vm);
    replacedProcessLogs_ += formatLog(router.process.get());
    router.process = startRouter(vm, router);
    publishVms();
}

void Deployment::setVmState(const std::string& vm, const std::string& state)
{
    if (routers_.count(vm) > 0)
        routers_.at(vm).state = state;
    else
        upstreams_.at(vm).state = state;
    publishVms();
}

void Deployment::publishVms()
{
    value vms = value::array();
    for (const auto& [vm, router] : routers_) {
        if (!router.process)
            continue;
        value json = vmJson(vm, "router", router.state, router.options.location);
        json["pool"] = jsonString("");
        json["endpoint"] = jsonString(router.process->readyText("link"));
        vms[vms.size()] = json;
    }
    for (const auto& [vm, upstream] : upstreams_) {
        if (!upstream.agent)
            continue;
        value json = vmJson(vm, "upstream", upstream.state, upstream.options.location);
        json["pool"] = jsonString(upstream.options.pool);
        json["endpoint"] = jsonString(upstream.link());
        vms[vms.size()] = json;
    }
    value body;
    body["vms"] = vms;
    sendJson("PUT", platform(), "/standin/vms", body);
}

void Deployment::rollOut(const std::string& bundleText)
{
    const bundle::OperatorAction act { "tester", "2026-12-02T20:00:00Z" };
    const auto deadline = framework::Deadline::after(std::chrono::steady_clock::now(), conditionTimeout);
    objectstore::ObjectStoreSettings settings;
    settings.url = urlOf(platform(), "");
    const auto client = objectstore::makeObjectStoreClient(settings, std::make_shared<framework::Metrics>());
    const auto bundle = bundle::parseBundle(bundleText, "test");
    throwIfFailed(bundle);
    throwIfFailed(bundle::signOff(*client.store, bundle.value(), act, deadline));
    throwIfFailed(bundle::rollOut(*client.store, bundle.value().version, act, deadline));
}

void Deployment::waitUntilReady()
{
    for (const auto& entry : routers_) {
        const std::string ops = entry.second.ops();
        waitFor(entry.first + " is ready", [&ops] { return getFrom(ops, "/readyz").status == 200; });
    }
}

std::vector<std::string> Deployment::upstreams(UpstreamKind kind) const
{
    std::vector<std::string> endpoints;
    for (const auto& [vm, upstream] : upstreams_) {
        if (upstream.options.kind == kind)
            endpoints.push_back(upstream.upstream());
    }
    return endpoints;
}

int Deployment::runCommand(const std::vector<std::string>& arguments, std::string* output)
{
    ChildProcess process("command." + std::to_string(++started_), pathOf(Program::Lagoonrouter), arguments, folder_);
    const int exitCode = process.waitForExit();
    if (output)
        *output = process.output() + process.log();
    return exitCode;
}

} // namespace lagoon::testsupport
