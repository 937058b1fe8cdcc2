#pragma once

#include "catalog/types/targetdemand.h"
#include "catalog/types/units.h"
#include "catalog/types/upstream.h"
#include "framework/types/ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::engines {

/// Orders that an engine has accepted since its start. An order says which number it expects, so that one that is
/// carried out late, behind newer ones, is refused.
using OrderCount = framework::StrongType<struct OrderCountTag, std::uint64_t>;

/// An engine's state as it says itself.
struct EngineReport {
    /// Of the engine's process; nothing if it doesn't say it.
    std::optional<catalog::StartTime> started;
    std::vector<catalog::LoadedModel> held;
    /// Adapters on their way from the store; they take up places.
    std::vector<catalog::ModelTarget> loadingAdapters;
    catalog::CachedWeights cachedWeights;
    /// An order is being carried out.
    bool isBusy = false;
    OrderCount orders;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    catalog::Tokens usedMemory;
    catalog::Tokens memory;
};

enum class OrderKind : std::uint8_t { Load, Unload };

struct Order {
    OrderKind kind = OrderKind::Load;
    catalog::ModelTarget target;

    friend bool operator==(const Order&, const Order&) = default;
};

/// What an order carries so that an engine refuses it when it isn't meant, or meant no longer.
struct OrderPreconditions {
    framework::VmName holder;
    framework::FencingToken fence;
    OrderCount expected;
    catalog::InstanceId instance;
};

enum class OrderOutcome : std::uint8_t {
    Accepted, ///< is being carried out, or already holds
    Busy, ///< another order is under way, or the count is another
    Fenced, ///< the engine has seen a newer fence
    OtherInstance, ///< the engine has started anew
    Refused, ///< it can't be carried out
    Unknown, ///< no answer: it may be carried out, now or seconds later
};

struct OrderAnswer {
    OrderOutcome outcome = OrderOutcome::Unknown;
    /// For `OtherInstance`: who is there.
    catalog::InstanceId instance;
    std::string detail;
};

} // namespace lagoon::engines
