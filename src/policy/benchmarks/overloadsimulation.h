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

/// One warm model on equal upstreams, more or less of them slow, under too much or too little load.
struct OverloadCase {
    std::size_t upstreams = 9;
    std::size_t routers = 3;
    /// Requests that an upstream runs at once.
    std::uint32_t slots = 8;
    double serviceSeconds = 0.5;
    double deadlineSeconds = 5;
    /// Offered load over what all upstreams together can do.
    double load = 1;
    std::size_t slowUpstreams = 0;
    double slowness = 10;
    double seconds = 300;
};

/// How routers and agents behave in it.
struct OverloadPolicySet {
    std::string name;
    std::function<std::unique_ptr<IReplicaChoice>(std::uint64_t seed)> choice;
    /// Agents refuse what can't be answered in time, and run the highest priority first.
    bool hasAdmission = true;
    /// Retries per request that routers may spend; each request is sent at most three times.
    double retryShare = 0.1;
};

struct OverloadOutcome {
    std::size_t requests = 0;
    std::size_t high = 0;
    std::size_t highAnswered = 0;
    std::size_t answered = 0;
    std::size_t refusedAtOnce = 0;
    /// Refused only after a tenth of their time or more, or at their deadline.
    std::size_t refusedLate = 0;
    std::size_t retries = 0;
    std::vector<double> latencies;
    std::vector<double> refusalSeconds;
};

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
