#pragma once

#include "standins/common/callfaults.h"
#include "standins/common/standinprogram.h"
#include "standins/engine/completionrequest.h"
#include "standins/engine/replicatable.h"

#include <condition_variable>
#include <deque>
#include <mutex>
#include <set>

namespace lagoon::standins {

struct EngineOptions {
    std::uint64_t memoryMib = 0;
    bool checksFencing = true;
    /// The URL of the weight store. If empty, checkpoints are available without a fetch.
    std::string weightsUrl;
    /// The time to load a replica into the accelerator's memory, without the fetch.
    framework::Milliseconds loadTime { 0 };
    framework::Milliseconds unloadTime { 0 };
    /// The time to generate one token.
    framework::Milliseconds tokenTime { 0 };
    /// The maximum number of completions that run concurrently. Others wait for a slot.
    std::uint64_t slots = 64;
};

/// A model engine. Faults:
/// - `checks_fencing`: whether orders with a stale fencing token are refused
/// - `loads` `{"do": "fail"|"die", "count"}`: the next `count` loads fail; with `die`, the process exits in
///   the middle of the load
/// - `late_loads` `{"count", "delay_ms"}`: the next `count` load orders get no answer and are executed after the delay,
///   as if they had stayed unread in the receive buffer
/// - `ignored_unloads`: the number of unload orders that are accepted but not executed
/// - `slow_load_ms`, `slow_token_ms`: added to the time of each load or token
/// - `calls`: see CallFaults
class EngineStandin final : public IStandin, public std::enable_shared_from_this<EngineStandin> {
public:
    explicit EngineStandin(const EngineOptions&);

    void answer(Exchange&) override;
    framework::Result<void> setFaults(const web::json::value&) override;
    web::json::value record() override;

private:
    enum class LoadFault : std::uint8_t { None, Fail, Die };
    struct Execution {
        std::string requestId;
        std::string model;
        std::string prompt;
        std::string state;
    };

    void replyState(Exchange&);
    void handleOrder(Exchange&);
    void load(Exchange&, const ReplicaKey&, std::uint64_t memoryMib, std::uint64_t fence);
    void unload(Exchange&, const ReplicaKey&, std::uint64_t fence);
    void replyOrder(Exchange&, const ReplicaKey&, OrderOutcome);
    OrderOutcome startLoad(const ReplicaKey&, std::uint64_t memoryMib, std::uint64_t fence);
    void runLoad(const ReplicaKey&);
    bool fetchCheckpoint(const ReplicaKey&);
    LoadFault takeLoadFault();

    void handleCompletion(Exchange&);
    void runCompletion(Exchange&, const CompletionRequest&, const CallFaults::Fault&);
    /// Generates the tokens and returns the final state of the execution: `done`, `cancelled` if the caller
    /// disconnected, or `dropped` if a fault closed the connection.
    std::string generate(Exchange&, const CompletionRequest&, const CallFaults::Fault&);
    void takeSlot();
    void freeSlot();
    std::size_t beginExecution(const Exchange&, const CompletionRequest&);
    void endExecution(std::size_t index, const std::string& state);

    const EngineOptions options_;
    const std::uint64_t incarnation_;
    std::mutex mutex_;
    std::condition_variable slotFreed_;
    ReplicaTable replicas_;
    std::set<ReplicaKey> checkpoints_;
    std::uint64_t running_ = 0;
    std::uint64_t waiting_ = 0;
    std::vector<Execution> executions_;

    CallFaults callFaults_;
    LoadFault loadFault_ = LoadFault::None;
    std::uint64_t loadFaultsLeft_ = 0;
    std::uint64_t lateLoadsLeft_ = 0;
    framework::Milliseconds lateLoadDelay_ { 0 };
    /// Load orders that are being delayed by `late_loads`.
    std::uint64_t heldLoads_ = 0;
    std::uint64_t ignoredUnloadsLeft_ = 0;
    framework::Milliseconds slowLoad_ { 0 };
    framework::Milliseconds slowToken_ { 0 };
};

} // namespace lagoon::standins
