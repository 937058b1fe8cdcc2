#pragma once

#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "objectstore/types/storedobject.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

/// The platform's object that holds the replica cap of one model, or model and adapter, at one site.
namespace lagoon::bundle {

enum class HolderState : std::uint8_t { Loading, Loaded, Unloading };

/// A VM that has claimed a replica. In each state it counts against the cap.
struct ReplicaHolder {
    framework::VmName vm;
    /// Of the agent that wrote the claim.
    framework::Incarnation incarnation;
    /// Recognises the claim's write after its answer was lost.
    std::string nonce;
    HolderState state = HolderState::Loading;

    friend bool operator==(const ReplicaHolder&, const ReplicaHolder&) = default;
};

/// Written by a roll-out before it moves the head: from now on no claim beyond `decided`.
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
    /// UTC, for people.
    std::string releasedAt;
    std::string nonce;

    friend bool operator==(const ReplicaRelease&, const ReplicaRelease&) = default;
};

struct ReplicaObject {
    std::uint32_t decided = 0;
    /// The bundle that `decided` is from; 0 when no claimer has written it yet.
    framework::BundleVersion bundleVersion;
    std::optional<LoweredCount> lowered;
    std::vector<ReplicaHolder> holders;
    /// The latest few, oldest first.
    std::vector<ReplicaRelease> releases;

    const ReplicaHolder* holder(const framework::VmName&) const;
    /// Adds a release and drops the oldest beyond `maxReleases`.
    void addRelease(ReplicaRelease);

    friend bool operator==(const ReplicaObject&, const ReplicaObject&) = default;
};

inline constexpr std::size_t maxReleases = 16;

/// A model's or adapter's decided count in a bundle of this version.
struct DecidedCount {
    std::uint32_t decided = 0;
    framework::BundleVersion bundleVersion;
};

/// Takes a claimer's knowledge into the object and returns how many replicas may be claimed. The newer of both
/// bundles' counts is kept. A lowered count of a bundle newer than either still holds beside it; an older one has done
/// its work and is dropped. Call it within the change of an `updateObject`, then compare with the number of holders.
std::uint32_t applyDecision(ReplicaObject&, const DecidedCount& known);

/// `replicas/<site>/<model>`, and `/<adapter>` if there is one.
objectstore::ObjectKey replicaKey(
    const framework::SiteName&, const framework::ModelName&, const framework::AdapterName& adapter = {});

framework::Result<ReplicaObject> parseReplicaObject(const std::string& text, const objectstore::ObjectKey&);
std::string replicaObjectText(const ReplicaObject&);

} // namespace lagoon::bundle
