#pragma once

#include "catalog/types/targetdemand.h"
#include "catalog/types/units.h"
#include "catalog/types/upstream.h"
#include "framework/types/ids.h"
#include "notices/types/servernotice.h"
#include "ratelimits/types/serverlimit.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::engines {

/// Number of orders that an engine has accepted since its start. An order carries the count that it expects, so that
/// the engine refuses an order that arrives late, after newer ones.
using OrderCount = framework::StrongType<struct OrderCountTag, std::uint64_t>;

/// An engine's state as the engine itself reports it.
struct EngineReport {
    /// Start of the engine's process; std::nullopt if the engine doesn't report it.
    std::optional<catalog::StartTime> started;
    std::vector<catalog::LoadedModel> held;
    /// Adapters that are being loaded from the store. They occupy adapter slots already.
    std::vector<catalog::ModelTarget> loadingAdapters;
    catalog::CachedWeights cachedWeights;
    /// Whether an order is being carried out.
    bool isBusy = false;
    OrderCount orders;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    /// Running requests that have made events; 0 if the engine doesn't list its requests.
    std::uint32_t streams = 0;
    /// Prompt tokens of the running requests that have made none.
    catalog::Tokens readingTokens;
    /// Use and capacity of the KV cache.
    catalog::Tokens usedMemory;
    catalog::Tokens memory;
    /// What the report says about the rate of requests that the engine takes.
    ratelimits::LimitHeader limit;
};

enum class OrderKind : std::uint8_t { Load, Unload };

struct Order {
    OrderKind kind = OrderKind::Load;
    catalog::ModelTarget target;

    friend bool operator==(const Order&, const Order&) = default;
};

/// Conditions that an order carries. The engine refuses the order if it is addressed to another instance or outdated.
struct OrderPreconditions {
    /// VM of the agent that holds the fencing token.
    framework::VmName holder;
    framework::FencingToken fence;
    OrderCount expected;
    catalog::InstanceId instance;
};

enum class OrderOutcome : std::uint8_t {
    Accepted, ///< the order is being carried out, or its effect is already in place
    Busy, ///< another order is in progress, or the expected count differs from the engine's
    Fenced, ///< the engine has seen a newer fencing token
    OtherInstance, ///< the engine has restarted as another instance
    Refused, ///< the order can't be carried out
    Unknown, ///< no answer: the order may be carried out now, seconds later or never
};

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// For `OtherInstance`: the instance that answered.
    catalog::InstanceId instance;
    std::string detail;
    notices::ServerNotice notice;
};

} // namespace lagoon::engines
