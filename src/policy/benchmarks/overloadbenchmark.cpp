#include "policy/benchmarks/overloadbenchmark.h"

#include "policy/benchmarks/overloadsimulation.h"
#include "policy/policysetup.h"

#include <algorithm>
#include <cstdio>

namespace lagoon::policy::benchmarks {

namespace {

/// Chooses all replicas in turn.
class RoundRobinReplicaChoice final : public IReplicaChoice {
public:
    std::optional<std::size_t> choose(
        const std::vector<ReplicaView>& replicas, std::uint64_t, framework::SteadyTime) override
    {
        return next_++ % replicas.size();
    }

private:
    std::size_t next_ = 0;
};

/// Chooses the replica that reported the least load with its last answer.
class LeastReportedReplicaChoice final : public IReplicaChoice {
public:
    std::optional<std::size_t> choose(
        const std::vector<ReplicaView>& replicas, std::uint64_t, framework::SteadyTime) override
    {
        const auto least
            = std::min_element(replicas.begin(), replicas.end(), [](const ReplicaView& left, const ReplicaView& right) {
                  return left.reportedRunning + left.reportedWaiting < right.reportedRunning + right.reportedWaiting;
              });
        return static_cast<std::size_t>(least - replicas.begin());
    }
};

std::vector<OverloadPolicySet> policySets()
{
    const auto ours = [](std::uint64_t seed) { return makeReplicaChoice({}, seed); };
    const auto inTurn = [](std::uint64_t) { return std::make_unique<RoundRobinReplicaChoice>(); };
    const auto least = [](std::uint64_t) { return std::make_unique<LeastReportedReplicaChoice>(); };
    return { { "lagoon", ours, true, 0.1 }, { "in-turn, no admission", inTurn, false, 2 },
        { "in-turn, admission", inTurn, true, 0.1 }, { "least reported, adm.", least, true, 0.1 } };
}

double percentile(std::vector<double> values, double percent)
{
    if (values.empty())
        return 0;
    std::sort(values.begin(), values.end());
    return values[static_cast<std::size_t>(percent / 100 * static_cast<double>(values.size() - 1))];
}

void printRow(const OverloadPolicySet& policySet, const OverloadCase& overload, std::uint64_t seed)
{
    const OverloadOutcome outcome = OverloadSimulation(overload, policySet, seed).run();
    const double high = static_cast<double>(std::max<std::size_t>(1, outcome.highPriorityRequests));
    std::printf("%-21s %5.1f %4zu %7zu %9.1f %6.1f %8zu %8zu %8zu %7.2f %7.2f %8.2f\n", policySet.name.c_str(),
        overload.load, overload.slowUpstreams, outcome.requests,
        static_cast<double>(outcome.answered) / overload.seconds,
        100 * static_cast<double>(outcome.highPriorityAnswered) / high, outcome.refusedAtOnce, outcome.refusedLate,
        outcome.retries, percentile(outcome.latencies, 50), percentile(outcome.latencies, 99),
        percentile(outcome.refusalSeconds, 99));
}

} // namespace

void printOverload(std::uint64_t seed)
{
    std::printf(
        "\noverload: 9 upstreams, 8 slots, 0.5 s a request (capacity 144/s), deadline 5 s, a tenth of high priority\n");
    std::printf("%-21s %5s %4s %7s %9s %6s %8s %8s %8s %7s %7s %8s\n", "policy", "load", "slow", "reqs", "goodput/s",
        "high%", "at once", "late", "retries", "p50", "p99", "ref. p99");
    for (const OverloadPolicySet& policySet : policySets()) {
        for (const double load : { 0.5, 1.0, 2.0, 4.0 }) {
            OverloadCase overload;
            overload.load = load;
            printRow(policySet, overload, seed);
        }
        OverloadCase slow;
        slow.load = 0.5;
        slow.slowUpstreams = 1;
        printRow(policySet, slow, seed);
    }
}

} // namespace lagoon::policy::benchmarks
