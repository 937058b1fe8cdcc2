#pragma once

#include "policy/benchmarks/deployment.h"
#include "policy/benchmarks/eventqueue.h"
#include "policy/ireplicachoice.h"
#include "policy/retrybackoff.h"
#include "policy/retrybudget.h"

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace lagoon::policy::benchmarks {

/// A case for the simulation: one warm model on identical upstreams, some of which may be slow, at a given load.
struct OverloadCase {
    std::size_t upstreams = 9;
    std::size_t routers = 3;
    /// Number of requests that an upstream runs at once.
    std::uint32_t slots = 8;
    double serviceSeconds = 0.5;
    double deadlineSeconds = 5;
    /// Offered load as a multiple of the capacity of all upstreams together.
    double load = 1;
    std::size_t slowUpstreams = 0;
    double slowness = 10;
    double seconds = 300;
};

/// The policies of routers and agents in the simulation.
struct OverloadPolicySet {
    std::string name;
    std::function<std::unique_ptr<IReplicaChoice>(std::uint64_t seed)> choice;
    /// Agents refuse requests that can't be answered in time and run requests of the highest priority first.
    bool hasAdmission = true;
    /// Retries per request that the routers' retry budget allows. Each request is sent at most three times.
    double retryShare = 0.1;
};

struct OverloadOutcome {
    std::size_t requests = 0;
    std::size_t highPriorityRequests = 0;
    std::size_t highPriorityAnswered = 0;
    std::size_t answered = 0;
    std::size_t refusedAtOnce = 0;
    /// Requests that were refused after a tenth of their deadline or more, or when the deadline had passed.
    std::size_t refusedLate = 0;
    std::size_t retries = 0;
    std::vector<double> latencies;
    std::vector<double> refusalSeconds;
};

/// Simulates routers and agents at a given load in virtual time.
class OverloadSimulation {
public:
    OverloadSimulation(const OverloadCase&, const OverloadPolicySet&, std::uint64_t seed);
    OverloadOutcome run();

private:
    struct Request {
        framework::SteadyTime at;
        framework::Deadline deadline;
        std::uint8_t priority = 4;
        std::size_t router = 0;
        std::uint32_t attempt = 0;
        std::uint64_t prefix = 0;
        bool isFinished = false;
    };
    using RequestPointer = std::shared_ptr<Request>;

    struct Upstream {
        std::uint32_t running = 0;
        std::deque<RequestPointer> queue;
        double slowness = 1;
        double meanService = 0;
    };

    struct Router {
        std::unique_ptr<IReplicaChoice> choice;
        std::vector<ReplicaView> views;
        RetryBudget budget;
    };

    void arrive();
    void send(const RequestPointer&);
    void admit(const RequestPointer&, std::size_t upstream);
    bool isTooLate(const Request&, const Upstream&) const;
    void start(const RequestPointer&, std::size_t upstream);
    void startNext(std::size_t upstream);
    void report(const Request&, std::size_t upstream);
    void answer(const RequestPointer&, std::size_t upstream);
    void refuse(const RequestPointer&, std::size_t upstream);
    void finishRefused(const RequestPointer&);
    double draw() { return std::uniform_real_distribution<double>(0, 1)(random_); }
    framework::SteadyTime now() const { return events_.now(); }

    OverloadCase case_;
    OverloadPolicySet policySet_;
    Random random_;
    EventQueue events_;
    std::vector<Upstream> upstreams_;
    std::vector<Router> routers_;
    RetryBackoff backoff_ { std::chrono::milliseconds(50), std::chrono::milliseconds(1000) };
    OverloadOutcome outcome_;
};

} // namespace lagoon::policy::benchmarks
