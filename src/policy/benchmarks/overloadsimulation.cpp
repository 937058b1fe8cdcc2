#include "policy/benchmarks/overloadsimulation.h"

#include "policy/loadforecast.h"

#include <algorithm>
#include <chrono>

namespace lagoon::policy::benchmarks {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

namespace {

using Seconds = std::chrono::duration<double>;

constexpr std::uint32_t maxAttempts = 3;
constexpr double highPriorityShare = 0.1;
constexpr std::uint8_t highPriority = 9;
/// Weight of a new value in an exponential moving average.
constexpr double newWeight = 0.2;
/// Maximum share of the deadline after which a refusal still counts as given at once.
constexpr double atOnceShare = 0.1;
/// Longest service time that an agent assumes, as a multiple of the mean.
constexpr double maxOverMean = 1.5;
/// Number of different prompt beginnings that requests share.
constexpr std::size_t prefixes = 40;
constexpr Milliseconds networkDelay { 1 };

SteadyTime::duration ticks(double seconds)
{
    return std::chrono::duration_cast<SteadyTime::duration>(Seconds(seconds));
}

Milliseconds milliseconds(double seconds) { return std::chrono::duration_cast<Milliseconds>(Seconds(seconds)); }

} // namespace

OverloadSimulation::OverloadSimulation(
    const OverloadCase& overload, const OverloadPolicySet& policySet, std::uint64_t seed)
    : case_(overload)
    , policySet_(policySet)
    , random_(seed)
    , upstreams_(overload.upstreams)
{
    for (std::size_t index = 0; index < upstreams_.size(); ++index) {
        upstreams_[index].slowness = index < case_.slowUpstreams ? case_.slowness : 1;
        upstreams_[index].meanService = case_.serviceSeconds;
    }
    for (std::size_t router = 0; router < case_.routers; ++router) {
        std::vector<ReplicaView> views(upstreams_.size());
        for (std::size_t index = 0; index < views.size(); ++index)
            views[index].vm = framework::VmName("server-" + std::to_string(index));
        routers_.push_back(
            { policySet.choice(seed + router), std::move(views), RetryBudget(policySet.retryShare, 10) });
    }
}

OverloadOutcome OverloadSimulation::run()
{
    events_.at(traceStart, [this] { arrive(); });
    events_.run();
    return outcome_;
}

void OverloadSimulation::arrive()
{
    if (now() > traceStart + ticks(case_.seconds))
        return;
    auto request = std::make_shared<Request>();
    request->at = now();
    request->deadline = Deadline(now() + ticks(case_.deadlineSeconds));
    request->priority = draw() < highPriorityShare ? highPriority : request->priority;
    request->router = random_() % routers_.size();
    // Half of the requests share the beginning of their prompt with others.
    request->prefix = draw() < 0.5 ? 1 + random_() % prefixes : 0;
    ++outcome_.requests;
    outcome_.highPriorityRequests += request->priority == highPriority ? 1 : 0;
    routers_[request->router].budget.earn();
    send(request);
    events_.at(request->deadline.at(), [this, request] {
        if (!request->isFinished)
            finishRefused(request);
    });
    const double capacity = static_cast<double>(upstreams_.size() * case_.slots) / case_.serviceSeconds;
    const double gap = std::exponential_distribution<double>(capacity * case_.load)(random_);
    events_.at(now() + ticks(gap), [this] { arrive(); });
}

void OverloadSimulation::send(const RequestPointer& request)
{
    if (request->isFinished)
        return;
    Router& router = routers_[request->router];
    const std::size_t upstream = *router.choice->choose(router.views, request->prefix, now());
    ++request->attempt;
    ++router.views[upstream].ownInFlight;
    events_.at(now() + networkDelay, [this, request, upstream] { admit(request, upstream); });
}

void OverloadSimulation::admit(const RequestPointer& request, std::size_t index)
{
    Upstream& upstream = upstreams_[index];
    if (upstream.running < case_.slots)
        return start(request, index);
    if (policySet_.hasAdmission && isTooLate(*request, upstream))
        return refuse(request, index);
    auto position = upstream.queue.end();
    if (policySet_.hasAdmission) {
        position = std::find_if(upstream.queue.begin(), upstream.queue.end(),
            [&request](const RequestPointer& other) { return other->priority < request->priority; });
    }
    upstream.queue.insert(position, request);
}

bool OverloadSimulation::isTooLate(const Request& request, const Upstream& upstream) const
{
    const auto ahead = std::count_if(upstream.queue.begin(), upstream.queue.end(),
        [&request](const RequestPointer& other) { return !other->isFinished && other->priority >= request.priority; });
    const LoadTimeEstimate each { milliseconds(upstream.meanService / 2), milliseconds(upstream.meanService),
        milliseconds(upstream.meanService * maxOverMean) };
    const LoadQueue queue { static_cast<std::uint32_t>(ahead), upstream.running, case_.slots, 0, each };
    return isLikelyTooLate(forecastWaiting(each, queue), request.deadline, now());
}

void OverloadSimulation::start(const RequestPointer& request, std::size_t index)
{
    Upstream& upstream = upstreams_[index];
    ++upstream.running;
    const double mean = case_.serviceSeconds * upstream.slowness;
    const double service = std::uniform_real_distribution<double>(0.5 * mean, 1.5 * mean)(random_);
    upstream.meanService += newWeight * (service - upstream.meanService);
    events_.at(now() + ticks(service), [this, request, index] {
        --upstreams_[index].running;
        answer(request, index);
        startNext(index);
    });
}

void OverloadSimulation::startNext(std::size_t index)
{
    Upstream& upstream = upstreams_[index];
    while (!upstream.queue.empty() && upstream.running < case_.slots) {
        const RequestPointer next = upstream.queue.front();
        upstream.queue.pop_front();
        // Without admission, agents don't check whether the caller still waits.
        const bool isUseless = next->isFinished || (isTooLate(*next, Upstream { 0, {}, 1, upstream.meanService }));
        if (policySet_.hasAdmission && isUseless)
            refuse(next, index);
        else
            start(next, index);
    }
}

void OverloadSimulation::report(const Request& request, std::size_t index)
{
    ReplicaView& view = routers_[request.router].views[index];
    --view.ownInFlight;
    view.reportedRunning = upstreams_[index].running;
    view.reportedWaiting = static_cast<std::uint32_t>(upstreams_[index].queue.size());
}

void OverloadSimulation::answer(const RequestPointer& request, std::size_t index)
{
    report(*request, index);
    ReplicaView& view = routers_[request->router].views[index];
    const double seconds = Seconds(now() - request->at).count();
    view.firstByteSeconds
        = view.firstByteSeconds > 0 ? view.firstByteSeconds + newWeight * (seconds - view.firstByteSeconds) : seconds;
    view.lastAnswer = now();
    if (request->isFinished)
        return;
    request->isFinished = true;
    ++outcome_.answered;
    outcome_.highPriorityAnswered += request->priority == highPriority ? 1 : 0;
    outcome_.latencies.push_back(seconds);
}

void OverloadSimulation::refuse(const RequestPointer& request, std::size_t index)
{
    report(*request, index);
    if (request->isFinished)
        return;
    const Milliseconds wait = backoff_.wait(request->attempt, draw());
    const bool hasTime = now() + wait + milliseconds(case_.serviceSeconds) < request->deadline.at();
    if (!hasTime || request->attempt >= maxAttempts || !routers_[request->router].budget.spend())
        return finishRefused(request);
    ++outcome_.retries;
    events_.at(now() + wait, [this, request] { send(request); });
}

void OverloadSimulation::finishRefused(const RequestPointer& request)
{
    request->isFinished = true;
    const double seconds = Seconds(now() - request->at).count();
    outcome_.refusalSeconds.push_back(seconds);
    ++(seconds < atOnceShare * case_.deadlineSeconds ? outcome_.refusedAtOnce : outcome_.refusedLate);
}

} // namespace lagoon::policy::benchmarks
