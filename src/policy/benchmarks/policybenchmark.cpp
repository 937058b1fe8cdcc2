#include "policy/benchmarks/baselines.h"
#include "policy/benchmarks/loadsimulation.h"
#include "policy/benchmarks/overloadbenchmark.h"
#include "policy/policysetup.h"

#include <algorithm>
#include <boost/program_options.hpp>
#include <cstdio>
#include <iostream>

namespace {

namespace benchmarks = lagoon::policy::benchmarks;
namespace policy = lagoon::policy;
using benchmarks::Deployment;
using benchmarks::Outcome;
using benchmarks::PolicySet;

using Hours = std::chrono::hours;
using Minutes = std::chrono::minutes;

lagoon::bundle::PolicyParameters parameters(const Deployment& deployment)
{
    lagoon::bundle::PolicyParameters made;
    made.coldStartWeight = deployment.coldStartWeight;
    return made;
}

PolicySet lagoonPolicies()
{
    return { "lagoon", [](const Deployment& deployment) { return policy::makeLoadPlacement(parameters(deployment)); },
        [](const Deployment& deployment) { return policy::makeKeepWarm(parameters(deployment)); },
        [](const Deployment& deployment) { return policy::makeLoadOrder(parameters(deployment)); }, true, false };
}

PolicySet fixedTimeout(const std::string& name, lagoon::framework::Milliseconds timeout)
{
    return { name, [](const Deployment&) { return std::make_unique<benchmarks::RoundRobinLoadPlacement>(); },
        [timeout](const Deployment&) { return std::make_unique<benchmarks::FixedTimeoutKeepWarm>(timeout); },
        [](const Deployment&) { return std::make_unique<benchmarks::FifoLoadOrder>(); }, false, false };
}

/// Makes the lagoon policies with one part replaced by a baseline, which shows the benefit of that part.
PolicySet withReplacedPart(const std::string& name, const std::function<void(PolicySet&, const PolicySet&)>& change)
{
    PolicySet variant = lagoonPolicies();
    change(variant, fixedTimeout("", Minutes(30)));
    variant.name = name;
    return variant;
}

std::vector<PolicySet> policySets(bool hasParts)
{
    std::vector<PolicySet> all { lagoonPolicies(), fixedTimeout("fixed-1min", Minutes(1)),
        fixedTimeout("fixed-5min", Minutes(5)), fixedTimeout("fixed-30min", Minutes(30)),
        fixedTimeout("never-unload", Hours(1000)) };
    if (!hasParts)
        return all;
    using Variant = PolicySet;
    all.push_back(withReplacedPart("in-turn placement",
        [](Variant& variant, const PolicySet& baseline) { variant.placement = baseline.placement; }));
    all.push_back(withReplacedPart(
        "fixed-30min keep", [](Variant& variant, const PolicySet& baseline) { variant.keepWarm = baseline.keepWarm; }));
    all.push_back(withReplacedPart("fixed-5min keep",
        [](Variant& variant, const PolicySet&) { variant.keepWarm = fixedTimeout("", Minutes(5)).keepWarm; }));
    all.push_back(withReplacedPart(
        "arrival order", [](Variant& variant, const PolicySet& baseline) { variant.order = baseline.order; }));
    all.push_back(withReplacedPart(
        "no hopelessness", [](Variant& variant, const PolicySet&) { variant.refusesHopeless = false; }));
    all.push_back(
        withReplacedPart("with borrowing", [](Variant& variant, const PolicySet&) { variant.mayBorrow = true; }));
    return all;
}

void printHead(const std::string& title)
{
    std::printf("\n%s\n", title.c_str());
    std::printf("%-18s %5s %6s %6s | %6s %6s %6s | %6s %7s | %8s %7s | %8s %8s | %6s %6s %6s %5s\n", "policy", "seed",
        "reqs", "cold", "p50", "p99", "p99.9", "all99", "all99.9", "hopeless", "expired", "idle_h", "cost_h", "loads",
        "remote", "evict", "429");
}

/// Prints one row. Cold starts are in seconds, idle time in accelerator hours, and cost in accelerator hours at the
/// deployment's cold start weight.
void printRow(const std::string& name, const std::string& seed, const Outcome& outcome, double weight)
{
    std::printf(
        "%-18s %5s %6zu %6zu | %6.1f %6.1f %6.1f | %6.1f %7.1f | %8zu %7zu | %8.1f %8.1f | %6zu %6zu %6zu %5zu\n",
        name.c_str(), seed.c_str(), outcome.requests, outcome.coldWaits.size(), outcome.coldPercentile(50),
        outcome.coldPercentile(99), outcome.coldPercentile(99.9), outcome.waitPercentile(99),
        outcome.waitPercentile(99.9), outcome.hopeless, outcome.expired, outcome.idleAcceleratorHours,
        outcome.idleAcceleratorHours + weight * outcome.totalColdSeconds() / 3600, outcome.loads, outcome.remoteLoads,
        outcome.evictions, outcome.storeRefusals);
}

void add(Outcome& sum, const Outcome& one)
{
    sum.coldWaits.insert(sum.coldWaits.end(), one.coldWaits.begin(), one.coldWaits.end());
    sum.refusedAt.insert(sum.refusedAt.end(), one.refusedAt.begin(), one.refusedAt.end());
    sum.refusalWaits.insert(sum.refusalWaits.end(), one.refusalWaits.begin(), one.refusalWaits.end());
    sum.requests += one.requests;
    sum.served += one.served;
    sum.servedHighPriority += one.servedHighPriority;
    sum.hopeless += one.hopeless;
    sum.expired += one.expired;
    sum.loads += one.loads;
    sum.remoteLoads += one.remoteLoads;
    sum.evictions += one.evictions;
    sum.storeRefusals += one.storeRefusals;
    sum.idleAcceleratorHours += one.idleAcceleratorHours;
}

struct Options {
    std::uint64_t seed = 1;
    std::uint64_t seeds = 3;
    bool hasParts = false;
    bool showsSeeds = false;
    double weight = 0;
};

void compare(Deployment deployment, const Options& options)
{
    if (options.weight > 0)
        deployment.coldStartWeight = options.weight;
    printHead(deployment.name + ", cold start weight " + std::to_string(deployment.coldStartWeight));
    for (const PolicySet& policySet : policySets(options.hasParts)) {
        Outcome sum;
        for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
            benchmarks::Random random(seed);
            const auto targets = benchmarks::makeTargets(deployment, random);
            const auto trace = benchmarks::makeTrace(deployment, targets, random);
            const Outcome outcome = benchmarks::LoadSimulation(deployment, policySet, targets, seed).run(trace);
            if (options.showsSeeds)
                printRow(policySet.name, std::to_string(seed), outcome, deployment.coldStartWeight);
            add(sum, outcome);
        }
        printRow(policySet.name, "all", sum, deployment.coldStartWeight);
    }
}

std::size_t refusedBetween(const Outcome& outcome, lagoon::framework::SteadyTime from, Minutes length)
{
    return static_cast<std::size_t>(std::count_if(outcome.refusedAt.begin(), outcome.refusedAt.end(),
        [&](lagoon::framework::SteadyTime at) { return at >= from && at < from + length; }));
}

void keepRefusalWaitsBetween(Outcome& outcome, lagoon::framework::SteadyTime from, lagoon::framework::SteadyTime to)
{
    std::vector<double> kept;
    for (std::size_t index = 0; index < outcome.refusedAt.size(); ++index) {
        if (outcome.refusedAt[index] >= from && outcome.refusedAt[index] < to)
            kept.push_back(outcome.refusalWaits[index]);
    }
    outcome.refusalWaits = std::move(kept);
}

/// Tests for metastable failures: whether the backlog clears once the store is as fast as before. There are no caches,
/// so that every load needs the store.
void printStoreSlowdown(const Options& options)
{
    Deployment deployment = benchmarks::waitaha();
    deployment.diskCache = 0;
    deployment.memoryCache = 0;
    const benchmarks::StoreSlowdown slowdown { benchmarks::traceStart + Hours(24 + 10),
        benchmarks::traceStart + Hours(24 + 11), 0.05 };
    std::printf("\nwaitaha without caches, store at 1/20 speed from 10:00 to 11:00 of the second day\n");
    std::printf("%-18s %6s %6s %8s %7s %6s %6s | %s\n", "policy", "reqs", "loads", "hopeless", "expired", "ref25",
        "ref50", "refused requests by arrival: in the hour before, during the slowdown, in 15-minute steps after it");
    for (const PolicySet& policySet : policySets(true)) {
        Outcome sum;
        for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
            benchmarks::Random random(seed);
            const auto targets = benchmarks::makeTargets(deployment, random);
            const auto trace = benchmarks::makeTrace(deployment, targets, random);
            Outcome one = benchmarks::LoadSimulation(deployment, policySet, targets, seed, slowdown).run(trace);
            keepRefusalWaitsBetween(one, slowdown.from, slowdown.to);
            add(sum, one);
        }
        std::printf("%-18s %6zu %6zu %8zu %7zu %6.1f %6.1f | %5zu %5zu |", policySet.name.c_str(), sum.requests,
            sum.loads, sum.hopeless, sum.expired, sum.refusalPercentile(50), sum.refusalPercentile(90),
            refusedBetween(sum, slowdown.from - Hours(1), Hours(1)), refusedBetween(sum, slowdown.from, Hours(1)));
        for (int step = 0; step < 8; ++step)
            std::printf(" %4zu", refusedBetween(sum, slowdown.to + Minutes(15 * step), Minutes(15)));
        std::printf("\n");
    }
}

void printStorm(Deployment deployment, const Options& options)
{
    deployment.diskCache = 0;
    deployment.memoryCache = 0;
    std::printf("\n%s without caches, all models at once\n", deployment.name.c_str());
    std::printf("%-18s %6s %6s %6s %8s %7s %6s %6s | %6s %6s %5s\n", "policy", "reqs", "served", "high", "hopeless",
        "expired", "ref50", "ref90", "p50", "loads", "429");
    for (const PolicySet& policySet : policySets(true)) {
        Outcome sum;
        for (std::uint64_t seed = options.seed; seed < options.seed + options.seeds; ++seed) {
            benchmarks::Random random(seed);
            const auto targets = benchmarks::makeTargets(deployment, random);
            const auto trace = benchmarks::makeStorm(deployment, random);
            add(sum, benchmarks::LoadSimulation(deployment, policySet, targets, seed).run(trace));
        }
        std::printf("%-18s %6zu %6zu %6zu %8zu %7zu %6.1f %6.1f | %6.1f %6zu %5zu\n", policySet.name.c_str(),
            sum.requests, sum.served, sum.servedHighPriority, sum.hopeless, sum.expired, sum.refusalPercentile(50),
            sum.refusalPercentile(90), sum.coldPercentile(50), sum.loads, sum.storeRefusals);
    }
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    Options options;
    po::options_description description("Policies against baselines in virtual time");
    description.add_options()("help", "print this help")("seed", po::value(&options.seed)->default_value(1),
        "the first seed")("seeds", po::value(&options.seeds)->default_value(3), "number of consecutive seeds")("weight",
        po::value(&options.weight)->default_value(0), "cold start weight; 0 for that of the deployment")("parts",
        po::bool_switch(&options.hasParts), "also run the lagoon policies with one part replaced by a baseline")(
        "each", po::bool_switch(&options.showsSeeds), "print a row for each seed");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, description), values);
        po::notify(values);
    } catch (const po::error& error) {
        std::cerr << error.what() << '\n';
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << description;
        return 0;
    }
    compare(benchmarks::ekowe(), options);
    compare(benchmarks::waitaha(), options);
    printStorm(benchmarks::ekowe(), options);
    printStorm(benchmarks::waitaha(), options);
    printStoreSlowdown(options);
    benchmarks::printOverload(options.seed);
    return 0;
}
