#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "objectstore/types/storedobject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform object that enforces the replica cap of one model, or of one adapter of a model, at one site.
namespace lagoon::bundle {

enum class HolderState : std::uint8_t { Loading, Loaded, Unloading };

/// A VM that has claimed a replica. It counts towards the cap in every state.
struct ReplicaHolder {
    framework::VmName vm;
    /// Incarnation of the agent that wrote the claim.
    framework::Incarnation incarnation;
    /// Identifies the write of the claim if its answer was lost.
    std::string nonce;
    HolderState state = HolderState::Loading;

    friend bool operator==(const ReplicaHolder&, const ReplicaHolder&) = default;
};

/// A lowered count that a roll-out writes before it moves the head. From then on no agent may claim more than `decided`
/// replicas.
struct LoweredCount {
    std::uint32_t decided = 0;
    framework::BundleVersion bundleVersion;

    friend bool operator==(const LoweredCount&, const LoweredCount&) = default;
};

/// An operator's forced release of a claim.
struct ReplicaRelease {
    framework::VmName vm;
    std::string operatorName;
    std::string reason;
    /// Time of the release in UTC, for display only.
    std::string releasedAt;
    std::string nonce;

    friend bool operator==(const ReplicaRelease&, const ReplicaRelease&) = default;
};

struct ReplicaObject {
    std::uint32_t decided = 0;
    /// Version of the bundle that `decided` is from; 0 if no claiming agent has written it yet.
    framework::BundleVersion bundleVersion;
    std::optional<LoweredCount> lowered;
    std::vector<ReplicaHolder> holders;
    /// The most recent releases, oldest first.
    std::vector<ReplicaRelease> releases;

    const ReplicaHolder* holder(const framework::VmName&) const;
    /// Adds a release and removes the oldest one if there are more than `maxReleases`.
    void addRelease(ReplicaRelease);

    friend bool operator==(const ReplicaObject&, const ReplicaObject&) = default;
};

inline constexpr std::size_t maxReleases = 16;

/// The decided replica count of a model or adapter in the bundle of the given version.
struct DecidedCount {
    std::uint32_t decided = 0;
    framework::BundleVersion bundleVersion;
};

/// Merges the count that a claiming agent knows into the object and returns how many replicas may be claimed. The count
/// of the newer bundle is kept. A lowered count of a bundle newer than both also applies; any other lowered count is
/// obsolete and is removed. Callers use this in the `change` function of `updateObject` and compare the result with the
/// number of holders.
std::uint32_t applyDecision(ReplicaObject&, const DecidedCount& known);

/// Returns the key `replicas/<site>/<model>`, or `replicas/<site>/<model>/<adapter>` if an adapter is given.
objectstore::ObjectKey replicaKey(
    const framework::SiteName&, const framework::ModelName&, const framework::AdapterName& adapter = {});

framework::Result<ReplicaObject> parseReplicaObject(const std::string& text, const objectstore::ObjectKey&);
std::string replicaObjectText(const ReplicaObject&);

} // namespace lagoon::bundle
