#include "policy/expiredreplicas.h"
#include "policy/loadtimeestimator.h"
#include "policy/policysetup.h"
#include "policy/rendezvous.h"
#include "wire/types/message.h"

#include <boost/program_options.hpp>
#include <chrono>
#include <cstdio>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <random>
#include <string>
#include <vector>

/// Measures the slopes in docs/CAPACITY.md: what one more VM, replica, target or frame costs in processor time, heap
/// and bytes. Prints a table; has no pass or fail criterion.
namespace {

using namespace lagoon;
using Random = std::mt19937_64;

const framework::SteadyTime now { std::chrono::hours(1000) };

/// Runs the action `count` times and returns the mean processor time of one run on this thread, in nanoseconds.
template <typename Action> double nanosecondsPerCall(std::size_t count, Action action)
{
    const auto processorTime = [] {
        timespec time {};
        clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
        return static_cast<double>(time.tv_sec) * 1e9 + static_cast<double>(time.tv_nsec);
    };
    const double start = processorTime();
    for (std::size_t call = 0; call < count; ++call)
        action(call);
    return (processorTime() - start) / static_cast<double>(count);
}

void print(const std::string& what, std::size_t size, double value, const char* unit)
{
    std::printf("%-34s %7zu %12.1f %s\n", what.c_str(), size, value, unit);
}

std::vector<framework::VmName> vmNames(std::size_t count)
{
    std::vector<framework::VmName> names;
    for (std::size_t index = 0; index < count; ++index)
        names.emplace_back("upstream-vm-" + std::to_string(index));
    return names;
}

void measureRendezvous()
{
    for (const std::size_t size : { 9U, 90U, 370U, 840U, 1680U }) {
        const auto names = vmNames(size);
        const double time = nanosecondsPerCall(
            400, [&names](std::size_t call) { (void)policy::rendezvousOrder("model-" + std::to_string(call), names); });
        print("rendezvous order, VMs", size, time, "ns");
    }
}

void measureChoice(std::uint64_t seed)
{
    Random random(seed);
    for (const std::size_t size : { 2U, 8U, 32U }) {
        std::vector<policy::ReplicaView> views(size);
        for (std::size_t index = 0; index < size; ++index) {
            views[index].vm = framework::VmName("upstream-vm-" + std::to_string(index));
            views[index].reportedRunning = static_cast<std::uint32_t>(random() % 8);
            views[index].firstByteSeconds = 0.1 + 0.01 * static_cast<double>(random() % 10);
            views[index].lastAnswer = now;
        }
        const auto choice = policy::makeReplicaChoice({}, seed);
        print("replica choice, replicas", size,
            nanosecondsPerCall(20000, [&](std::size_t call) { (void)choice->choose(views, call, now); }), "ns");
    }
}

void measureKeepWarm(std::uint64_t seed)
{
    Random random(seed);
    const auto keepWarm = policy::makeKeepWarm({});
    for (const std::size_t size : { 4U, 16U, 64U, 256U }) {
        std::vector<policy::LoadedReplica> replicas(size);
        for (std::size_t index = 0; index < size; ++index) {
            policy::LoadedReplica& replica = replicas[index];
            replica.model = framework::ModelName("model-" + std::to_string(index / 4));
            replica.adapter = framework::AdapterName(index % 4 == 0 ? "" : "adapter-" + std::to_string(index));
            replica.memory = framework::MebiBytes(index % 4 == 0 ? 20000 : 500);
            replica.lastUsed = now - std::chrono::seconds(random() % 500);
            replica.loadTime = std::chrono::seconds(20);
            for (int gap = 0; gap < 10; ++gap)
                replica.gaps.record(std::chrono::seconds(random() % 1000));
        }
        const framework::MebiBytes accelerator(81920);
        print("keep-warm scan, replicas", size,
            nanosecondsPerCall(
                500, [&](std::size_t) { (void)policy::expiredReplicas(*keepWarm, replicas, accelerator, now); }),
            "ns");
        print("victims, replicas", size,
            nanosecondsPerCall(
                500, [&](std::size_t) { (void)keepWarm->victims(replicas, framework::MebiBytes(20000), now); }),
            "ns");
    }
}

void measureEstimator()
{
    for (const std::size_t size : { 100U, 1000U, 5000U }) {
        const auto before = mallinfo2().uordblks;
        policy::LoadTimeEstimator estimator;
        for (std::size_t target = 0; target < size; ++target) {
            estimator.record("model-with-a-long-name-" + std::to_string(target), policy::CheckpointLocation::Remote,
                framework::MebiBytes(20000), std::chrono::seconds(20), now);
        }
        print("load times, heap per target", size,
            static_cast<double>(mallinfo2().uordblks - before) / static_cast<double>(size), "bytes");
    }
}

wire::fb::TargetT target()
{
    wire::fb::TargetT result;
    result.model = "policy-review-large";
    result.adapter = "university-blocks";
    return result;
}

std::unique_ptr<wire::fb::DispatchIdT> dispatchId()
{
    auto id = std::make_unique<wire::fb::DispatchIdT>();
    id->router_incarnation = 0x123456789abcdefULL;
    id->session = 7;
    id->sequence = 123456;
    return id;
}

template <typename Body> void printFrame(const std::string& name, Body body)
{
    const wire::Message message = wire::message(std::move(body));
    const std::vector<std::uint8_t> bytes = wire::encode(message);
    print("frame " + name + ", bytes", 1, static_cast<double>(bytes.size()), "bytes");
    print("frame " + name + ", encode", 1, nanosecondsPerCall(20000, [&](std::size_t) { (void)wire::encode(message); }),
        "ns");
    print("frame " + name + ", decode", 1,
        nanosecondsPerCall(20000,
            [&](std::size_t) {
                (void)wire::decode(bytes.data() + wire::lengthPrefixBytes, bytes.size() - wire::lengthPrefixBytes);
            }),
        "ns");
}

void measureFrames()
{
    wire::fb::PingT ping;
    ping.nonce = 99;
    ping.floor = 123450;
    ping.bundle_version = 940;
    printFrame("Ping", ping);
    wire::fb::WakeT wake;
    wake.correlation = 12;
    wake.target = std::make_unique<wire::fb::TargetT>(target());
    wake.waiters = 3;
    wake.bundle_version = 940;
    printFrame("Wake", std::move(wake));
    wire::fb::BidRequestT bidRequest;
    bidRequest.correlation = 12;
    bidRequest.target = std::make_unique<wire::fb::TargetT>(target());
    printFrame("BidRequest", std::move(bidRequest));
    wire::fb::BidT bid;
    bid.correlation = 12;
    bid.can_load = true;
    bid.free_mib = 40000;
    bid.expected_load_ms = 20000;
    printFrame("Bid", bid);
    wire::fb::LoadT load;
    load.correlation = 12;
    load.target = std::make_unique<wire::fb::TargetT>(target());
    load.bundle_version = 940;
    printFrame("Load", std::move(load));
    wire::fb::LoadResultT loadResult;
    loadResult.correlation = 12;
    loadResult.is_loaded = true;
    printFrame("LoadResult", std::move(loadResult));
    for (const std::size_t bodyBytes : { 0U, 1024U, 16384U }) {
        wire::fb::DispatchT dispatch;
        dispatch.id = dispatchId();
        dispatch.target = std::make_unique<wire::fb::TargetT>(target());
        dispatch.request_name = "0123456789abcdef-123456";
        dispatch.method = "POST";
        dispatch.path = "/v1/completions";
        dispatch.body.resize(bodyBytes);
        printFrame("Dispatch of " + std::to_string(bodyBytes), std::move(dispatch));
    }
    wire::fb::AnswerChunkT chunk;
    chunk.id = dispatchId();
    chunk.bytes.resize(200);
    printFrame("AnswerChunk of 200", std::move(chunk));
    wire::fb::AnswerEndT end;
    end.id = dispatchId();
    end.length = 200;
    end.running = 4;
    printFrame("AnswerEnd", std::move(end));
}

} // namespace

int main(int argc, char** argv)
{
    namespace po = boost::program_options;
    std::uint64_t seed = 1;
    po::options_description description("Measures the slopes for docs/CAPACITY.md");
    description.add_options()("help", "print this help")(
        "seed", po::value(&seed)->default_value(1), "seed for generated states");
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
    std::printf("%-34s %7s %12s\n", "what", "size", "value");
    measureRendezvous();
    measureChoice(seed);
    measureKeepWarm(seed);
    measureEstimator();
    measureFrames();
    return 0;
}
