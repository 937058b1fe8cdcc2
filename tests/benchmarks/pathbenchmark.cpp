// Compares the latency and throughput of calls through a router and an agent with those of direct calls to the same
// upstream, in one run. Also measures the memory and the start-up time of the router and the agent. Prints a table; has
// no pass or fail criterion.
//
// usage: lagoonbench_path [--calls N] [--callers N] [--throughput-calls N]

#include "support/bundlebuilder.h"
#include "support/deployment.h"

#include <algorithm>
#include <atomic>
#include <boost/program_options.hpp>
#include <chrono>
#include <cpprest/http_client.h>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <thread>

using namespace lagoon::testsupport;

namespace {

using Clock = std::chrono::steady_clock;
using web::http::client::http_client;

struct Options {
    std::size_t calls = 2000;
    std::size_t callers = 16;
    std::size_t throughputCalls = 16000;
};

/// A way to call the upstream: directly, or through the router and the agent.
struct Way {
    std::string name;
    std::string endpoint;
    std::string path;
    /// The agent sends a repeatable call over a pooled connection, any other call over a new one.
    bool isRepeatable = false;
    std::vector<double> milliseconds = {};
};

double callOnce(http_client& client, const Way& way)
{
    web::http::http_request request("GET");
    request.set_request_uri(way.path);
    request.headers().add("X-Lagoon-Repeatable", way.isRepeatable ? "true" : "false");
    const auto start = Clock::now();
    const auto response = client.request(request).get();
    response.extract_vector().get();
    if (response.status_code() != web::http::status_codes::OK)
        throw std::runtime_error("status " + std::to_string(response.status_code()) + " from " + way.path);
    return std::chrono::duration<double, std::milli>(Clock::now() - start).count();
}

/// Alternates between the ways after a few calls each, so that the machine's background load affects all of them alike.
void measureLatency(std::vector<Way>& ways, std::size_t calls)
{
    constexpr std::size_t callsPerTurn = 50;
    std::vector<http_client> clients;
    for (const Way& way : ways)
        clients.emplace_back(web::uri("http://" + way.endpoint));
    for (std::size_t measured = 0; measured < calls; measured += callsPerTurn) {
        for (std::size_t index = 0; index < ways.size(); ++index) {
            for (std::size_t call = 0; call < callsPerTurn; ++call)
                ways[index].milliseconds.push_back(callOnce(clients[index], ways[index]));
        }
    }
}

double measureThroughput(const Way& way, const Options& options)
{
    std::atomic<std::size_t> remainingCalls { options.throughputCalls };
    std::vector<std::thread> callers;
    const auto start = Clock::now();
    for (std::size_t index = 0; index < options.callers; ++index) {
        callers.emplace_back([&] {
            http_client client(web::uri("http://" + way.endpoint));
            for (std::size_t before = remainingCalls.fetch_sub(1); before > 0 && before <= options.throughputCalls;
                 before = remainingCalls.fetch_sub(1))
                callOnce(client, way);
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    const double seconds = std::chrono::duration<double>(Clock::now() - start).count();
    return static_cast<double>(options.throughputCalls) / seconds;
}

double percentile(std::vector<double> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

/// Returns the resident memory of a process in MiB; 0 if it can't be read.
double residentMemory(pid_t pid)
{
    std::ifstream status("/proc/" + std::to_string(pid) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.rfind("VmRSS:", 0) == 0)
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

double secondsUntilReady(const std::function<void()>& start)
{
    const auto begin = Clock::now();
    start();
    return std::chrono::duration<double>(Clock::now() - begin).count();
}

void rollOutBundle(Deployment& deployment)
{
    deployment.rollOut(BundleBuilder(1).servicePool("lookups", "old").service("lookup", { "lookups" }).text());
}

Options parse(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description;
    description.add_options()("calls", po::value(&options.calls), "calls per way that measure the latency")(
        "callers", po::value(&options.callers), "concurrent callers that measure the throughput")(
        "throughput-calls", po::value(&options.throughputCalls), "calls per way that measure the throughput");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, description), values);
    po::notify(values);
    return options;
}

} // namespace

int main(int argc, char** argv)
{
    const Options options = parse(argc, argv);
    Deployment deployment;
    UpstreamOptions service;
    service.kind = UpstreamKind::Service;
    service.pool = "lookups";
    const double agentStart = secondsUntilReady([&] { deployment.addUpstream("lookup-1", service); });
    const double routerStart = secondsUntilReady([&] { deployment.addRouter("entry-1"); });
    rollOutBundle(deployment);
    deployment.waitUntilReady();
    const double routerIdle = residentMemory(deployment.router("entry-1").process->pid());
    const double agentIdle = residentMemory(deployment.upstream("lookup-1").agent->pid());

    const std::string direct = deployment.upstream("lookup-1").upstream();
    const std::string routed = deployment.router("entry-1").callers();
    std::vector<Way> ways { { "direct", direct, "/prefix" }, { "routed", routed, "/services/lookup/prefix" },
        { "routed, repeatable", routed, "/services/lookup/prefix", true } };
    measureLatency(ways, options.calls);
    std::cout << std::fixed << std::setprecision(2);
    std::cout << "way                 p50_ms  p95_ms  p99_ms  requests/s (" << options.callers << " callers)\n";
    for (const Way& way : ways) {
        std::cout << std::left << std::setw(20) << way.name << std::setw(8) << percentile(way.milliseconds, 0.5)
                  << std::setw(8) << percentile(way.milliseconds, 0.95) << std::setw(8)
                  << percentile(way.milliseconds, 0.99) << measureThroughput(way, options) << "\n";
    }
    std::cout << "idle resident memory: router " << routerIdle << " MiB, agent " << agentIdle << " MiB\n";
    std::cout << "after the load:       router " << residentMemory(deployment.router("entry-1").process->pid())
              << " MiB, agent " << residentMemory(deployment.upstream("lookup-1").agent->pid()) << " MiB\n";
    std::cout << "start to ready line:  router " << routerStart << " s, agent with its stand-in " << agentStart
              << " s\n";
}
