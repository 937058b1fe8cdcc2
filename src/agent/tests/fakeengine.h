#pragma once

#include "agent/imodelengine.h"

#include <algorithm>
#include <map>
#include <optional>
#include <vector>

namespace lagoon::agent::testing {

/// An in-memory engine. Loads end when the test calls `finishLoads` or `failLoads`; `isOvercommitted` records whether
/// the engine ever had to hold more than its memory.
class FakeEngine final : public IModelEngine {
public:
    enum class OrderFault : std::uint8_t {
        LoseAnswer, ///< the order is carried out, but its answer is lost
        Hold, ///< the order stays in the receive buffer until `deliverHeld`; the agent gets no answer
    };

    explicit FakeEngine(std::uint64_t memory) { state_.memory = framework::MebiBytes(memory); }

    framework::Result<EngineState> state(framework::Deadline) override
    {
        if (!isAvailable)
            return noAnswer("read state", framework::Execution::Unknown);
        return state_;
    }

    framework::Result<void> load(const EngineOrder& order, framework::Deadline) override
    {
        return receive(order, [this](const EngineOrder& one) { return applyLoad(one); });
    }

    framework::Result<void> unload(const EngineOrder& order, framework::Deadline) override
    {
        ++unloadOrders;
        return receive(order, [this](const EngineOrder& one) { return applyUnload(one); });
    }

    void finishLoads()
    {
        for (EngineReplica& replica : state_.replicas) {
            if (replica.state == EngineReplicaState::Loading)
                replica.state = EngineReplicaState::Loaded;
        }
    }

    void failLoads()
    {
        std::erase_if(
            state_.replicas, [](const EngineReplica& one) { return one.state == EngineReplicaState::Loading; });
    }

    void deliverHeld()
    {
        for (const EngineOrder& order : held_)
            static_cast<void>(applyLoad(order));
        held_.clear();
    }

    /// Restarts the engine, which is empty then.
    void restart()
    {
        state_.replicas.clear();
        ++state_.incarnation;
    }

    void addReplica(const ReplicaId& id, const std::string& version, std::uint64_t memory, EngineReplicaState state)
    {
        state_.replicas.push_back({ { id, framework::WeightsVersion(version) }, framework::MebiBytes(memory), state });
    }

    std::optional<EngineReplicaState> stateOf(const ReplicaId& id) const
    {
        for (const EngineReplica& replica : state_.replicas) {
            if (replica.checkpoint.replica == id)
                return replica.state;
        }
        return std::nullopt;
    }

    std::string versionOf(const ReplicaId& id) const
    {
        for (const EngineReplica& replica : state_.replicas) {
            if (replica.checkpoint.replica == id)
                return replica.checkpoint.version.value();
        }
        return "";
    }

    bool isAvailable = true;
    bool checksFencing = false;
    bool isOvercommitted = false;
    unsigned loadsAccepted = 0;
    unsigned unloadOrders = 0;
    /// Replicas in the order in which they were unloaded.
    std::vector<ReplicaId> unloaded;
    std::vector<OrderFault> faults;

private:
    static framework::Error noAnswer(const char* step, framework::Execution execution)
    {
        return { framework::ErrorCode::UpstreamFailed, step, "engine", "", execution };
    }

    template <typename Apply> framework::Result<void> receive(const EngineOrder& order, Apply&& apply)
    {
        if (!isAvailable)
            return noAnswer("order", framework::Execution::NotRun);
        if (faults.empty())
            return apply(order);
        const OrderFault fault = faults.front();
        faults.erase(faults.begin());
        if (fault == OrderFault::Hold)
            held_.push_back(order);
        else
            static_cast<void>(apply(order));
        return noAnswer("order", framework::Execution::Unknown);
    }

    bool isStale(const EngineOrder& order)
    {
        auto& newest = fences_[order.checkpoint.replica];
        if (checksFencing && order.fence < newest)
            return true;
        newest = std::max(newest, order.fence);
        return false;
    }

    framework::Result<void> applyLoad(const EngineOrder& order)
    {
        if (isStale(order))
            return framework::Error { framework::ErrorCode::Fenced, "load", "engine" };
        if (stateOf(order.checkpoint.replica))
            return framework::success();
        ++loadsAccepted;
        state_.replicas.push_back({ order.checkpoint, order.memory, EngineReplicaState::Loading });
        std::uint64_t sum = 0;
        for (const EngineReplica& replica : state_.replicas)
            sum += replica.memory.value();
        isOvercommitted = isOvercommitted || sum > state_.memory.value();
        return framework::success();
    }

    framework::Result<void> applyUnload(const EngineOrder& order)
    {
        if (isStale(order))
            return framework::Error { framework::ErrorCode::Fenced, "unload", "engine" };
        const auto gone = std::erase_if(state_.replicas,
            [&](const EngineReplica& one) { return one.checkpoint.replica == order.checkpoint.replica; });
        if (gone == 0)
            return framework::Error { framework::ErrorCode::NotLoaded, "unload", "engine" };
        unloaded.push_back(order.checkpoint.replica);
        return framework::success();
    }

    EngineState state_ { 1, {}, {}, {} };
    std::vector<EngineOrder> held_;
    std::map<ReplicaId, framework::FencingToken> fences_;
};

} // namespace lagoon::agent::testing
