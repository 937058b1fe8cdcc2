// The demonstration runs two sites on the loopback interface, with stand-ins for engines, booking services, the
// platform and the weight store. Each step prints what it does and checks the result. The program exits with 0 if all
// checks pass; otherwise it prints the failed checks and the processes' logs, and exits with 1.

#include "demo/narration.h"
#include "demo/traffic.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <chrono>
#include <iomanip>
#include <iostream>
#include <set>
#include <sstream>

using namespace lagoon::testsupport;
using namespace lagoon::demo;

namespace {

const std::string oldSite = "old";
const std::string newSite = "new";
const std::vector<std::string> models { "policy", "notes", "summary" };
constexpr std::uint64_t acceleratorMib = 1000;
/// As many models as a site's engines can have loaded at once. With a third one the engines would unload and load
/// models all the time.
const std::vector<std::string> modelsUnderTraffic { "policy", "notes" };
/// Each of a site's two engines has memory for one model, so a third model can be loaded only after an unload.
constexpr std::uint64_t modelMib = 600;
/// High, so that no replica is unloaded as idle during the demonstration.
constexpr double coldStartWeight = 100;
/// The minimum number of answered calls before the move and after it has taken effect.
constexpr std::size_t minCallsPerPhase = 20;

std::string inMilliseconds(std::chrono::steady_clock::duration time)
{
    std::ostringstream text;
    text << std::fixed << std::setprecision(1) << std::chrono::duration<double, std::milli>(time).count() << " ms";
    return text.str();
}

std::string bundleText(std::uint64_t version, const std::string& servingSite)
{
    const bool isOldServing = servingSite == oldSite;
    BundleBuilder bundle(version);
    bundle.enginePool("engines-old", oldSite, acceleratorMib).enginePool("engines-new", newSite, acceleratorMib);
    bundle.servicePool("booking-old", oldSite).servicePool("booking-new", newSite);
    for (const std::string& model : models)
        bundle.model(model, modelMib, { "engines-old", "engines-new" },
            { { oldSite, isOldServing ? 1 : 0 }, { newSite, isOldServing ? 0 : 1 } });
    bundle.policy("cold_start_weight", coldStartWeight);
    bundle.service("booking", { "booking-old", "booking-new" });
    return bundle.text();
}

class Demonstration {
public:
    Demonstration()
        : deployment_({ "--loads-per-second", "10", "--transfer-ms", "200" })
    {
    }

    void run()
    {
        startProcesses();
        rollOutTheFirstBundle();
        callAColdModel();
        callAService();
        callAModelThatIsNotInTheBundle();
        callMoreModelsThanFit();
        moveSites();
        showStatus();
        showCounters();
        if (!faults_.empty())
            throw std::runtime_error(
                std::to_string(faults_.size()) + " of its checks failed, the first: " + faults_.front());
    }

private:
    void startProcesses()
    {
        printTitle("Two sites, each with a router, two engines and a booking service, each of these with its agent");
        for (const std::string& site : { oldSite, newSite })
            startSite(site);
    }

    void startSite(const std::string& site)
    {
        const VmLocation location { site, site + "-a" };
        UpstreamOptions engine;
        engine.location = location;
        engine.pool = "engines-" + site;
        engine.standinArguments = { "--memory-mib", std::to_string(acceleratorMib), "--load-ms", "300" };
        deployment_.addUpstream("gpu-" + site + "-1", engine);
        deployment_.addUpstream("gpu-" + site + "-2", engine);
        UpstreamOptions booking;
        booking.kind = UpstreamKind::Service;
        booking.location = location;
        booking.pool = "booking-" + site;
        deployment_.addUpstream("booking-" + site, booking);
        deployment_.addRouter("entry-" + site, { .location = location });
        const std::string ops = deployment_.router("entry-" + site).ops();
        printLine(
            "site " + site + ": callers call " + urlOf(callers(site), "") + ", counters at " + urlOf(ops, "/metrics"));
    }

    void rollOutTheFirstBundle()
    {
        printTitle("Bundle 1 decides one replica of each model at the old site, none at the new one");
        rollOut(1, oldSite);
        deployment_.waitUntilReady();
        waitUntilInForce();
    }

    void callAColdModel()
    {
        printTitle("A request for a cold model: it waits at the router while an agent claims and loads a replica");
        const auto cold = measureCompletion("policy", "may this university have a block");
        const auto warm = measureCompletion("policy", "and this one");
        printLine("cold " + inMilliseconds(cold) + ", warm " + inMilliseconds(warm));
        check(loadsOf(engines(oldSite), "policy") == 1, "the model was loaded once");
    }

    void callAService()
    {
        printTitle("A plain service takes the same path");
        const HttpAnswer answer = call(serviceCall(callers(newSite), "booking", "desk-4"));
        printBlock(std::to_string(answer.status) + " " + answer.body);
        check(answer.status == 200 && answer.isComplete(), "it was answered");
        check(executionsOf(deployment_.upstreams(UpstreamKind::Service), "desk-4") == 1, "the service ran it once");
    }

    void callAModelThatIsNotInTheBundle()
    {
        printTitle("A model that is not in the bundle is refused, and the refusal states that the request did not run");
        const HttpAnswer answer = call(completionCall(callers(oldSite), "horoscope", "what will be"));
        printBlock(std::to_string(answer.status) + " " + answer.body);
        check(answer.status == 404, "the status is 404");
        check(refusalField(answer, "code") == "unknown_model", "the code is unknown_model");
        check(refusalField(answer, "execution") == "not_run", "it says that it did not run");
    }

    void callMoreModelsThanFit()
    {
        printTitle(
            "Three models on two accelerators with memory for one model each: the third one needs an unload first");
        measureCompletion("notes", "notes of a meeting");
        printLine("the third, with the unload: " + inMilliseconds(measureCompletion("summary", "a summary of it")));
        std::uint64_t loaded = 0;
        for (const std::string& model : models)
            loaded += replicasNow(engines(oldSite), model);
        check(loaded == 2, "two of the three models are loaded now");
        checkEngines();
    }

    void moveSites()
    {
        printTitle("The move: bundle 2 decides all replicas at the new site, while callers continue at both routers");
        Traffic atOld("a caller at the old site", callers(oldSite), modelsUnderTraffic);
        Traffic atNew("a caller at the new site", callers(newSite), modelsUnderTraffic);
        waitFor("calls before the move",
            [&] { return atOld.answered() >= minCallsPerPhase && atNew.answered() >= minCallsPerPhase; });
        rollOut(2, newSite);
        waitUntilInForce();
        for (const std::string& model : models)
            waitFor("drained at the old site: " + model, [&] { return replicasNow(engines(oldSite), model) == 0; });
        const std::size_t before = atOld.answered();
        waitFor("calls after the move", [&] { return atOld.answered() >= before + minCallsPerPhase; });
        for (Traffic* traffic : { &atOld, &atNew })
            checkTraffic(traffic->stop());
        for (const std::string& model : models)
            check(replicasNow(engines(oldSite), model) == 0, "no replica of " + model + " is left at the old site");
        checkEngines();
    }

    void showStatus()
    {
        printTitle("The status that an operator sees");
        check(status(true) == 0, "each process has bundle 2 in force");
    }

    void showCounters()
    {
        printTitle("The counters");
        printLine("The old site's router");
        printCounters(deployment_.router("entry-old").ops(),
            { { "lagoon_requests_total", "requests received" }, { "lagoon_answers_total", "how they ended" },
                { "lagoon_refusals_total", "refusals by code; unknown_model is step 5" },
                { "lagoon_retries_total", "dispatches retried, by reason" },
                { "lagoon_bundle_version", "the bundle in force" } });
        printLine("An agent at the new site");
        printCounters(deployment_.upstream("gpu-new-1").ops(),
            { { "lagoon_loads_total", "loads since it started" }, { "lagoon_unloads_total", "unloads, by reason" },
                { "lagoon_accelerator_memory_used_mebibytes", "accelerator memory in use now" },
                { "lagoon_platform_calls_total", "calls to the platform, by kind and result" } });
        check(metricAt(deployment_.router("entry-old").ops(), "lagoon_bundle_version") == 2,
            "the router's metrics show bundle 2");
    }

    /// Prints the result of a check. A failed check does not stop the demonstration, but makes `run` throw at its end.
    void check(bool isTrue, const std::string& what)
    {
        printLine((isTrue ? "checked: " : "FAILED: ") + what);
        if (!isTrue)
            faults_.push_back(what);
    }

    std::string callers(const std::string& site) { return deployment_.router("entry-" + site).callers(); }

    std::vector<std::string> engines(const std::string& site)
    {
        return { deployment_.upstream("gpu-" + site + "-1").upstream(),
            deployment_.upstream("gpu-" + site + "-2").upstream() };
    }

    std::vector<std::string> processes()
    {
        std::vector<std::string> ops;
        for (const std::string& site : { oldSite, newSite }) {
            ops.push_back(deployment_.router("entry-" + site).ops());
            for (const std::string& vm : { "gpu-" + site + "-1", "gpu-" + site + "-2", "booking-" + site })
                ops.push_back(deployment_.upstream(vm).ops());
        }
        return ops;
    }

    /// Returns the time until the complete answer to a completion at the old site was received.
    std::chrono::steady_clock::duration measureCompletion(const std::string& model, const std::string& prompt)
    {
        const auto start = std::chrono::steady_clock::now();
        const HttpAnswer answer = call(completionCall(callers(oldSite), model, prompt, { .isStream = true }));
        const auto time = std::chrono::steady_clock::now() - start;
        const std::string text = completionText(answer);
        check(text == prompt, "the answer to \"" + prompt + "\" is complete: " + text);
        return time;
    }

    /// Runs an operator's command and prints the command and its output.
    void runOperatorCommand(std::vector<std::string> arguments)
    {
        arguments.insert(arguments.end(), { "--platform", "http://" + deployment_.platform(), "--operator", "ada" });
        std::string line = "$ lagoonrouter";
        for (const std::string& argument : arguments)
            line += " " + argument;
        std::string output;
        const int exitCode = deployment_.runCommand(arguments, &output);
        printBlock(line + "\n" + output);
        if (exitCode != 0)
            throw std::runtime_error("exit code " + std::to_string(exitCode));
    }

    void rollOut(std::uint64_t version, const std::string& servingSite)
    {
        const std::string file = deployment_.folder().file("bundle-" + std::to_string(version) + ".json");
        writeFile(file, bundleText(version, servingSite));
        runOperatorCommand({ "bundle", "sign-off", file });
        runOperatorCommand({ "bundle", "roll-out", std::to_string(version) });
    }

    int status(bool isPrinted)
    {
        std::vector<std::string> arguments { "bundle", "status", "--platform", "http://" + deployment_.platform() };
        for (const std::string& ops : processes())
            arguments.insert(arguments.end(), { "--process", ops });
        std::string output;
        const int exitCode = deployment_.runCommand(arguments, &output);
        if (isPrinted)
            printBlock("$ lagoonrouter bundle status --platform ... --process ...\n" + output);
        return exitCode;
    }

    void waitUntilInForce()
    {
        const auto start = std::chrono::steady_clock::now();
        waitFor("the bundle is in force at all processes", [&] { return status(false) == 0; });
        printLine("in force at all 8 processes " + inMilliseconds(std::chrono::steady_clock::now() - start)
            + " after the command, as `bundle status` saw it");
    }

    void checkTraffic(const TrafficCount& count)
    {
        for (const std::string& fault : count.faults)
            printLine("not answered: " + fault);
        check(count.answered == count.sent,
            std::to_string(count.answered) + " of " + std::to_string(count.sent) + " calls were answered completely");
        std::multiset<std::string> executed;
        for (const Execution& execution : executionsAt(deployment_.upstreams(UpstreamKind::Engine)))
            executed.insert(execution.content);
        std::size_t once = 0;
        for (const std::string& prompt : count.prompts)
            once += executed.count(prompt) == 1 ? 1 : 0;
        check(once == count.sent, "each of them ran exactly once");
    }

    void checkEngines()
    {
        check(violationsAt(deployment_.upstreams(UpstreamKind::Engine)).empty(), "no accelerator was overcommitted");
        for (const std::string& model : models) {
            const bool isWithinCap = maxConcurrentReplicas(engines(oldSite), model) <= 1
                && maxConcurrentReplicas(engines(newSite), model) <= 1;
            check(isWithinCap, "never more than one replica of " + model + " at either site");
        }
    }

    Deployment deployment_;
    std::vector<std::string> faults_;
};

} // namespace

int main()
{
    try {
        Demonstration demonstration;
        demonstration.run();
    } catch (const std::exception& error) {
        std::cout << std::flush;
        std::cerr << "\nThe demonstration failed: " << error.what() << "\n";
        return 1;
    }
    std::cout << "\nAll checks passed.\n";
}
