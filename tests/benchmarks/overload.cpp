// Measures one router in front of engines of known capacity, with an open-loop load generator. Prints tables; has no
// pass or fail criterion. The parts are:
//
//   load   load below and above the engines' capacity: how many calls are served in time, and how soon the others are
//          refused
//   slow   one engine that is slower than the others: how many calls it gets, and how the latency changes
//   loads  calls of more models than fit into the engines' memory, while model loads are slow for a part of the run
//
// usage: lagoonbench_overload [--seconds N] [--part load|slow|loads]...

#include "benchmarks/benchmarkparts.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/openloop.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <iomanip>
#include <iostream>
#include <map>
#include <thread>

using namespace lagoon::testsupport;

namespace {

using Clock = std::chrono::steady_clock;

const std::string routerVm = "entry-1";
const std::string model = "m";
const std::string high = "high";
const std::string low = "low";

constexpr int slots = 4;
constexpr int tokenMs = 10;
constexpr int tokens = 10;
constexpr double callsPerSecondOfEngine = slots * 1000.0 / (tokenMs * tokens);
constexpr std::uint64_t timeoutMs = 1500;
/// One in this many calls has high priority.
constexpr int highEvery = 5;

struct Options {
    int seconds = 6;
    std::vector<std::string> parts { "load", "slow", "loads" };
};

std::string engineVm(int number) { return "gpu-" + std::to_string(number); }

void addEngines(Deployment& deployment, int engines, std::uint64_t memoryMib)
{
    UpstreamOptions options;
    options.standinArguments = { "--memory-mib", std::to_string(memoryMib), "--slots", std::to_string(slots),
        "--token-ms", std::to_string(tokenMs) };
    options.extraSettings["limits"]["running"] = web::json::value::number(slots);
    for (int number = 1; number <= engines; ++number)
        deployment.addUpstream(engineVm(number), options);
}

HttpCall makeCall(Deployment& deployment, const std::string& target, int number, std::uint64_t timeout, bool isHigh)
{
    // Prompts differ from their first word on; otherwise prefix affinity would make the router prefer one engine.
    std::string prompt = "call-" + std::to_string(number);
    for (int word = 1; word < tokens; ++word)
        prompt += " word";
    CompletionOptions options { .timeoutMs = timeout };
    options.headers["X-Lagoon-Priority"] = isHigh ? "9" : "0";
    return completionCall(deployment.router(routerVm).callers(), target, prompt, options);
}

/// Sends calls until every engine has the model.
void warmUp(Deployment& deployment, int engines)
{
    int number = 1000000;
    waitFor("all replicas are warm", [&] {
        OpenLoop calls;
        for (int call = 0; call < 2 * engines; ++call)
            calls.begin(makeCall(deployment, model, number++, 10000, false));
        calls.finish();
        return replicasNow(deployment.upstreams(UpstreamKind::Engine), model) == static_cast<std::uint64_t>(engines);
    });
}

void startWarm(Deployment& deployment, int engines)
{
    addEngines(deployment, engines, 10000);
    // With one call in flight the router already requests another replica, so that the model is loaded on every engine.
    RouterOptions routerOptions;
    routerOptions.extraSettings = web::json::value::parse(R"({"dispatch": {"scale_up_in_flight": 1}})");
    deployment.addRouter(routerVm, routerOptions);
    deployment.rollOut(BundleBuilder(1)
                           .enginePool("engines", "old", 10000)
                           .model(model, 100, { "engines" }, { { "old", static_cast<std::uint32_t>(engines) } })
                           .text());
    deployment.waitUntilReady();
    warmUp(deployment, engines);
}

/// Begins `perSecond` calls per second for `seconds`, and waits until all of them have ended. Calls that are behind
/// schedule begin immediately.
std::vector<TimedAnswer> offer(double perSecond, double seconds, const std::function<void(OpenLoop&, int)>& begin)
{
    OpenLoop calls;
    const auto start = Clock::now();
    const int count = static_cast<int>(perSecond * seconds);
    for (int number = 0; number < count; ++number) {
        std::this_thread::sleep_until(
            start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(number / perSecond)));
        begin(calls, number);
    }
    return calls.finish();
}

double percentile(std::vector<double> values, double share)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(share * static_cast<double>(values.size() - 1))];
}

struct Summary {
    std::map<std::string, int> begun;
    std::map<std::string, int> served;
    /// Counts by `code/execution`, the two fields of a refusal.
    std::map<std::string, int> refusals;
    std::vector<double> servedMs;
    std::vector<double> refusedMs;
    int withoutRetryAfter = 0;
    /// Calls that ended with neither a served answer nor a refusal.
    int broken = 0;
};

Summary summarize(const std::vector<TimedAnswer>& answers)
{
    Summary summary;
    for (const TimedAnswer& timed : answers) {
        ++summary.begun[timed.label];
        if (timed.isServed()) {
            ++summary.served[timed.label];
            summary.servedMs.push_back(1000 * timed.seconds);
            continue;
        }
        const std::string code = refusalField(timed.answer, "code");
        if (code.empty()) {
            ++summary.broken;
            continue;
        }
        ++summary.refusals[code + "/" + refusalField(timed.answer, "execution")];
        summary.refusedMs.push_back(1000 * timed.seconds);
        summary.withoutRetryAfter += timed.answer.headers.count("retry-after") == 0 ? 1 : 0;
    }
    return summary;
}

/// Returns the time from the beginning of the first call to the end of the last served one, at least 1 s. Queued calls
/// are served even after the last call has begun.
double servingSeconds(const std::vector<TimedAnswer>& answers)
{
    double last = 0;
    for (const TimedAnswer& timed : answers) {
        if (timed.isServed())
            last = std::max(last,
                std::chrono::duration<double>(timed.startedAt - answers.front().startedAt).count() + timed.seconds);
    }
    return std::max(1.0, last);
}

std::string percentText(int part, int whole) { return whole == 0 ? "-" : std::to_string(part * 100 / whole) + " %"; }

/// The router's counters at one moment; the difference between two of them describes a run.
struct Counters {
    explicit Counters(Deployment& deployment)
        : dispatches(metricSumAt(deployment.router(routerVm).ops(), "lagoon_dispatches_total"))
        , retries(metricSumAt(deployment.router(routerVm).ops(), "lagoon_retries_total"))
    {
    }
    double dispatches;
    double retries;
};

void measureOfferedLoad(Deployment& deployment, double loadFactor, int engines, int seconds)
{
    const double rate = loadFactor * engines * callsPerSecondOfEngine;
    const Counters before(deployment);
    const auto answers = offer(rate, seconds, [&](OpenLoop& calls, int number) {
        const bool isHigh = number % highEvery == 0;
        calls.begin(makeCall(deployment, model, number, timeoutMs, isHigh), isHigh ? high : low);
    });
    const Counters after(deployment);
    Summary summary = summarize(answers);
    const double calls = static_cast<double>(answers.size());
    std::cout << std::fixed << std::setprecision(1) << "| " << loadFactor << " | " << rate << " | "
              << (summary.served[high] + summary.served[low]) / servingSeconds(answers) << " | "
              << percentText(summary.served[high], summary.begun[high]) << " | "
              << percentText(summary.served[low], summary.begun[low]) << " | " << percentile(summary.servedMs, 0.5)
              << " / " << percentile(summary.servedMs, 0.99) << " | " << percentile(summary.refusedMs, 0.5) << " / "
              << percentile(summary.refusedMs, 0.99) << " | " << std::setprecision(3)
              << (after.retries - before.retries) / calls << " | " << (after.dispatches - before.dispatches) / calls
              << " | " << summary.withoutRetryAfter << " | " << summary.broken << " | ";
    for (const auto& [code, count] : summary.refusals)
        std::cout << code << " " << count << " ";
    std::cout << "|" << std::endl;
}

void measureOfferedLoads(int seconds)
{
    constexpr int engines = 2;
    Deployment deployment;
    startWarm(deployment, engines);
    std::cout
        << "| times capacity | offered/s | served/s | high served | low served | served ms p50 / p99 | refused ms "
           "p50 / p99 | retries each | dispatches each | no Retry-After | broken | refusals |\n"
           "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |\n";
    for (const double loadFactor : { 0.5, 1.0, 2.0, 4.0 })
        measureOfferedLoad(deployment, loadFactor, engines, seconds);
}

void measureSlowEngine(Deployment& deployment, int engines, const std::string& what, int seconds)
{
    const std::vector<std::string> slow { deployment.upstream(engineVm(1)).upstream() };
    const std::size_t before = executionsAt(slow).size();
    const auto answers = offer(0.4 * engines * callsPerSecondOfEngine, seconds,
        [&](OpenLoop& calls, int number) { calls.begin(makeCall(deployment, model, number, 10000, false), low); });
    Summary summary = summarize(answers);
    const int executionsAtSlow = static_cast<int>(executionsAt(slow).size() - before);
    std::cout << std::fixed << std::setprecision(1) << "| " << what << " | " << answers.size() << " | "
              << summary.served[low] << " | " << percentText(executionsAtSlow, static_cast<int>(answers.size()))
              << " | " << percentile(summary.servedMs, 0.5) << " | " << percentile(summary.servedMs, 0.95) << " | "
              << percentile(summary.servedMs, 0.99) << " |" << std::endl;
}

void measureSlowEngines(int seconds)
{
    constexpr int engines = 4;
    Deployment deployment;
    startWarm(deployment, engines);
    std::cout << "\n| one engine of 4 | calls | served | of them at it | p50 ms | p95 ms | p99 ms |\n"
                 "| --- | --- | --- | --- | --- | --- | --- |\n";
    measureSlowEngine(deployment, engines, "as the others", seconds);
    const std::string slow = deployment.upstream(engineVm(1)).upstream();
    setFaults(slow, R"({"slow_token_ms": 100})");
    measureSlowEngine(deployment, engines, "ten times slower, at first", seconds);
    measureSlowEngine(deployment, engines, "ten times slower, later", seconds);
    setFaults(slow, R"({"slow_token_ms": 0})");
    measureSlowEngine(deployment, engines, "recovered, at first", seconds);
}

/// Calls twice as many models as the engines have memory for, so that models are loaded all the time. For a part of the
/// run each load takes 3 s longer.
void measureSlowModelLoads()
{
    constexpr int models = 20;
    constexpr int engines = 2;
    constexpr int seconds = 30;
    constexpr int slowFrom = 6;
    constexpr int slowUntil = 14;
    constexpr double rate = 16;
    Deployment deployment;
    addEngines(deployment, engines, 500);
    deployment.addRouter(routerVm);
    BundleBuilder bundle(1);
    bundle.enginePool("engines", "old", 500);
    for (int number = 0; number < models; ++number)
        bundle.model(model + std::to_string(number), 100, { "engines" }, { { "old", 1 } });
    deployment.rollOut(bundle.text());
    deployment.waitUntilReady();
    std::vector<double> waiting(seconds, 0);
    const auto start = Clock::now();
    const auto answers = offer(rate, seconds, [&](OpenLoop& calls, int number) {
        if (number == slowFrom * rate || number == slowUntil * rate) {
            const char* fault = number == slowFrom * rate ? R"({"slow_load_ms": 3000})" : R"({"slow_load_ms": 0})";
            for (const std::string& engine : deployment.upstreams(UpstreamKind::Engine))
                setFaults(engine, fault);
        }
        // Every second call is for one of the first four models, the others are for the remaining models; both in turn.
        const int modelNumber = number % 2 == 0 ? number / 2 % 4 : 4 + number / 2 % (models - 4);
        calls.begin(makeCall(deployment, model + std::to_string(modelNumber), number, 4000, false), low);
        if (number % static_cast<int>(rate) == 0)
            waiting[number / static_cast<int>(rate)]
                = metricAt(deployment.router(routerVm).ops(), "lagoon_requests_waiting");
    });
    std::cout << "\n| second | loads | begun | served | refused | broken | waiting at its start | served ms p50 |\n"
                 "| --- | --- | --- | --- | --- | --- | --- | --- |\n";
    constexpr int step = 2;
    for (int second = 0; second < seconds; second += step) {
        std::vector<TimedAnswer> begun;
        std::copy_if(answers.begin(), answers.end(), std::back_inserter(begun), [&](const TimedAnswer& timed) {
            const double at = std::chrono::duration<double>(timed.startedAt - start).count();
            return at >= second && at < second + step;
        });
        Summary summary = summarize(begun);
        std::cout << std::fixed << std::setprecision(0) << "| " << second << " | "
                  << (second >= slowFrom && second < slowUntil ? "slow" : "usual") << " | " << begun.size() << " | "
                  << summary.served[low] << " | " << summary.refusedMs.size() << " | " << summary.broken << " | "
                  << waiting[second] << " | " << percentile(summary.servedMs, 0.5) << " |" << std::endl;
    }
    std::cout << "refusals:";
    for (const auto& [code, count] : summarize(answers).refusals)
        std::cout << " " << code << " " << count;
    std::cout << std::endl;
}

} // namespace

int main(int argc, char** argv)
{
    const auto options = parseBenchmarkOptions<Options>(argc, argv);
    const auto has = [&](const char* part) { return hasPart(options.parts, part); };
    if (has("load"))
        measureOfferedLoads(options.seconds);
    if (has("slow"))
        measureSlowEngines(options.seconds);
    if (has("loads"))
        measureSlowModelLoads();
}
