// Measures the resources that one router and one agent use as the deployment grows: processor time, resident memory,
// platform calls and bytes on links, by the number of agents, routers and models, per request, and per request that
// waits for a model's load. Prints tables; has no pass or fail criterion.
//
// usage: lagoonbench_processes [--seconds N] [--part agents|routers|models|requests|waiting]...

#include "benchmarks/benchmarkparts.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/openloop.h"
#include "support/processusage.h"

#include <algorithm>
#include <chrono>
#include <cpprest/http_client.h>
#include <iomanip>
#include <iostream>
#include <thread>

using namespace lagoon::testsupport;

namespace {

using Clock = std::chrono::steady_clock;

constexpr int trickleCallsPerSecond = 2;
constexpr std::uint64_t poolMemoryMib = 40000;
const std::string engineVm = "gpu-1";
const std::string routerVm = "entry-1";

struct Options {
    int seconds = 5;
    std::vector<std::string> parts { "agents", "routers", "models", "requests", "waiting" };
};

std::string serviceVm(int number) { return "lookup-" + std::to_string(number); }

/// All measured values at one moment.
struct Snapshot {
    ProcessUsage router;
    ProcessUsage agent;
    double platformCalls = 0;
    double linkBytes = 0;
};

double platformCalls(Deployment& deployment)
{
    const auto record = getJson(deployment.platform(), "/standin/record");
    double sum = 0;
    for (const auto& [kind, number] : record.at("calls").as_object())
        sum += number.as_double();
    return sum;
}

double linkBytes(const UpstreamVm& upstream)
{
    if (!upstream.linkProxy)
        return 0;
    const auto record = getJson(upstream.linkProxy->readyText("http"), "/standin/record");
    return record.at("to_server").at("delivered_bytes").as_double()
        + record.at("to_client").at("delivered_bytes").as_double();
}

/// Reads the usage of the router and of the agent on `agentVm`, the calls that all processes have made to the platform,
/// and the bytes on the links to the agents on `linkedVms`.
Snapshot takeSnapshot(Deployment& deployment, const std::string& agentVm, const std::vector<std::string>& linkedVms)
{
    Snapshot snapshot;
    snapshot.router = usageOf(deployment.router(routerVm).process->pid());
    snapshot.agent = usageOf(deployment.upstream(agentVm).agent->pid());
    snapshot.platformCalls = platformCalls(deployment);
    for (const std::string& vm : linkedVms)
        snapshot.linkBytes += linkBytes(deployment.upstream(vm));
    return snapshot;
}

void printHeader()
{
    std::cout
        << "| what | size | state | router CPU % | router MiB | agent CPU % | agent MiB | platform calls/s (all) | "
           "link bytes/s (all) |\n| --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
}

void printRow(
    const std::string& what, int size, const std::string& state, const Snapshot& from, const Snapshot& to, double time)
{
    std::cout << std::fixed << std::setprecision(2) << "| " << what << " | " << size << " | " << state << " | "
              << 100 * (to.router.cpuSeconds - from.router.cpuSeconds) / time << " | " << to.router.residentMib << " | "
              << 100 * (to.agent.cpuSeconds - from.agent.cpuSeconds) / time << " | " << to.agent.residentMib << " | "
              << (to.platformCalls - from.platformCalls) / time << " | " << (to.linkBytes - from.linkBytes) / time
              << " |" << std::endl;
}

/// Describes a deployment whose processes are running, and what is measured in it.
struct Scenario {
    std::string what;
    int size = 0;
    std::string agentVm;
    std::vector<std::string> linkedVms;
    /// Sends one round of calls. The state "trickle" has `trickleCallsPerSecond` rounds per second.
    std::function<void()> trickle;
};

void measure(Deployment& deployment, const Scenario& scenario, const std::string& state, int seconds, bool hasTrickle)
{
    const Snapshot from = takeSnapshot(deployment, scenario.agentVm, scenario.linkedVms);
    const auto start = Clock::now();
    const auto end = start + std::chrono::seconds(seconds);
    const auto interval = std::chrono::milliseconds(1000 / trickleCallsPerSecond);
    for (auto next = start; next < end; next += interval) {
        std::this_thread::sleep_until(next);
        if (hasTrickle)
            scenario.trickle();
    }
    std::this_thread::sleep_until(end);
    const Snapshot to = takeSnapshot(deployment, scenario.agentVm, scenario.linkedVms);
    printRow(
        scenario.what, scenario.size, state, from, to, std::chrono::duration<double>(Clock::now() - start).count());
}

void measureStates(Deployment& deployment, const Scenario& scenario, int seconds)
{
    measure(deployment, scenario, "idle, no links", seconds, false);
    measure(deployment, scenario, "trickle", seconds, true);
    measure(deployment, scenario, "idle, links up", seconds, false);
}

void callService(Deployment& deployment, const std::string& router, const std::string& service)
{
    const HttpAnswer answer
        = call(serviceCall(deployment.router(router).callers(), service, "x", { { "X-Lagoon-Timeout-Ms", "5000" } }));
    if (answer.status != 200)
        throw std::runtime_error("service call failed: " + std::to_string(answer.status) + " " + answer.body);
}

void callModel(Deployment& deployment, const std::string& router, const std::string& model)
{
    const HttpAnswer answer
        = call(completionCall(deployment.router(router).callers(), model, "a b", { .timeoutMs = 10000 }));
    if (answer.status != 200)
        throw std::runtime_error("completion failed: " + std::to_string(answer.status) + " " + answer.body);
}

/// Each agent has its own pool and service, so that each round of the trickle reaches every agent.
void measureAgents(int agents, int seconds)
{
    Deployment deployment;
    BundleBuilder bundle(1);
    Scenario scenario { "agents", agents, serviceVm(1), {}, {} };
    for (int number = 1; number <= agents; ++number) {
        UpstreamOptions options;
        options.kind = UpstreamKind::Service;
        options.pool = "pool-" + std::to_string(number);
        options.hasLinkProxy = true;
        deployment.addUpstream(serviceVm(number), options);
        bundle.servicePool(options.pool, "old").service("service-" + std::to_string(number), { options.pool });
        scenario.linkedVms.push_back(serviceVm(number));
    }
    deployment.addRouter(routerVm);
    deployment.rollOut(bundle.text());
    deployment.waitUntilReady();
    scenario.trickle = [&] {
        for (int number = 1; number <= agents; ++number)
            callService(deployment, routerVm, "service-" + std::to_string(number));
    };
    measureStates(deployment, scenario, seconds);
}

void addEngine(Deployment& deployment)
{
    UpstreamOptions options;
    options.standinArguments = { "--memory-mib", std::to_string(poolMemoryMib) };
    options.hasLinkProxy = true;
    deployment.addUpstream(engineVm, options);
}

void measureRouters(int routers, int seconds)
{
    Deployment deployment;
    addEngine(deployment);
    for (int number = 1; number <= routers; ++number)
        deployment.addRouter("entry-" + std::to_string(number));
    deployment.rollOut(BundleBuilder(1)
                           .enginePool("engines", "old", poolMemoryMib)
                           .model("m", 100, { "engines" }, { { "old", 1 } })
                           .text());
    deployment.waitUntilReady();
    const Scenario scenario { "routers", routers, engineVm, { engineVm }, [&] {
                                 for (int number = 1; number <= routers; ++number)
                                     callModel(deployment, "entry-" + std::to_string(number), "m");
                             } };
    measureStates(deployment, scenario, seconds);
}

void measureModels(int models, int adapters, int seconds)
{
    Deployment deployment;
    addEngine(deployment);
    deployment.addRouter(routerVm);
    BundleBuilder bundle(1);
    bundle.enginePool("engines", "old", poolMemoryMib);
    for (int number = 0; number < models; ++number)
        bundle.model("model-of-a-usual-length-" + std::to_string(number), 100, { "engines" }, { { "old", 1 } });
    for (int number = 0; number < adapters; ++number) {
        const std::string base = "model-of-a-usual-length-" + std::to_string(number % models);
        bundle.adapter(base, "adapter-" + std::to_string(number), 1, { { "old", 1 } });
    }
    deployment.rollOut(bundle.text());
    deployment.waitUntilReady();
    const Scenario scenario { "models", models, engineVm, { engineVm },
        [&] { callModel(deployment, routerVm, "model-of-a-usual-length-0"); } };
    measureStates(deployment, scenario, seconds);
}

/// Prints the mean processor time and link bytes per call over `calls` sequential calls, each on its own connection. A
/// first call, which isn't measured, opens the link and loads the model.
void measurePerRequest(Deployment& deployment, const std::string& what, const std::string& agentVm, int calls,
    const std::function<void()>& callOnce)
{
    callOnce();
    const Snapshot from = takeSnapshot(deployment, agentVm, { agentVm });
    for (int number = 0; number < calls; ++number)
        callOnce();
    const Snapshot to = takeSnapshot(deployment, agentVm, { agentVm });
    std::cout << std::fixed << std::setprecision(3) << "| " << what << " | " << calls << " | "
              << 1000 * (to.router.cpuSeconds - from.router.cpuSeconds) / calls << " | "
              << 1000 * (to.agent.cpuSeconds - from.agent.cpuSeconds) / calls << " | "
              << (to.linkBytes - from.linkBytes) / calls << " |" << std::endl;
}

void measureRequests()
{
    constexpr int serviceCalls = 3000;
    constexpr int streams = 500;
    Deployment deployment;
    addEngine(deployment);
    UpstreamOptions service;
    service.kind = UpstreamKind::Service;
    service.pool = "lookups";
    service.hasLinkProxy = true;
    deployment.addUpstream(serviceVm(1), service);
    deployment.addRouter(routerVm);
    deployment.rollOut(BundleBuilder(1)
                           .enginePool("engines", "old", poolMemoryMib)
                           .model("m", 100, { "engines" }, { { "old", 1 } })
                           .servicePool("lookups", "old")
                           .service("lookup", { "lookups" })
                           .text());
    deployment.waitUntilReady();
    std::cout << "\n| call | calls | router CPU ms each | agent CPU ms each | link bytes each |\n"
                 "| --- | --- | --- | --- | --- |\n";
    measurePerRequest(
        deployment, "plain service", serviceVm(1), serviceCalls, [&] { callService(deployment, routerVm, "lookup"); });
    const HttpCall stream
        = completionCall(deployment.router(routerVm).callers(), "m", "a prompt", { .isStream = true, .maxTokens = 50 });
    measurePerRequest(deployment, "stream of 50 tokens", engineVm, streams, [&] {
        if (call(stream).status != 200)
            throw std::runtime_error("stream of 50 tokens failed");
    });
}

/// Prints the router's memory per request that waits for a model whose load takes 10 s longer than usual.
void measureWaiting(int requests)
{
    Deployment deployment;
    addEngine(deployment);
    deployment.addRouter(routerVm);
    deployment.rollOut(BundleBuilder(1)
                           .enginePool("engines", "old", poolMemoryMib)
                           .model("m", 100, { "engines" }, { { "old", 1 } })
                           .text());
    deployment.waitUntilReady();
    const std::string engine = deployment.upstream(engineVm).upstream();
    setFaults(engine, R"({"slow_load_ms": 10000})");
    const double before = usageOf(deployment.router(routerVm).process->pid()).residentMib;
    OpenLoop calls;
    const HttpCall waitingCall
        = completionCall(deployment.router(routerVm).callers(), "m", "a prompt", { .timeoutMs = 30000 });
    for (int number = 0; number < requests; ++number)
        calls.begin(waitingCall);
    const std::string ops = deployment.router(routerVm).ops();
    waitFor("all requests wait for the model", [&] { return metricAt(ops, "lagoon_requests_waiting") >= requests; });
    const double waiting = usageOf(deployment.router(routerVm).process->pid()).residentMib;
    const auto answers = calls.finish();
    const auto served
        = std::count_if(answers.begin(), answers.end(), [](const TimedAnswer& answer) { return answer.isServed(); });
    std::cout << std::fixed << std::setprecision(2) << "| " << requests << " | " << before << " | " << waiting << " | "
              << 1024 * (waiting - before) / requests << " | " << served << " |" << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parseBenchmarkOptions<Options>(argc, argv);
    const auto has = [&](const char* part) { return hasPart(options.parts, part); };
    printHeader();
    if (has("agents")) {
        for (const int agents : { 1, 4, 12 })
            measureAgents(agents, options.seconds);
    }
    if (has("routers")) {
        for (const int routers : { 1, 3, 6 })
            measureRouters(routers, options.seconds);
    }
    if (has("models")) {
        measureModels(30, 55, options.seconds);
        measureModels(300, 500, options.seconds);
        measureModels(1800, 3200, options.seconds);
    }
    if (has("requests"))
        measureRequests();
    if (has("waiting")) {
        std::cout << "\n| waiting | router MiB before | router MiB waiting | KiB each | served |\n"
                     "| --- | --- | --- | --- | --- |\n";
        for (const int requests : { 200, 600, 1800 })
            measureWaiting(requests);
    }
}
