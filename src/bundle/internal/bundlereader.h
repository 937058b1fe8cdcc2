#pragma once

#include "bundle/types/bundle.h"
#include "framework/checkedjson.h"

/// Readers for the parts of a bundle's JSON. They record errors in the object that is read; see CheckedObject::finish.
namespace lagoon::bundle {

/// Larger texts are refused before they are parsed.
inline constexpr std::size_t maxBundleBytes = 16 * 1024 * 1024;
/// Greatest version; every JSON parser represents numbers up to it exactly.
inline constexpr std::uint64_t maxBundleVersion = (1ULL << 53U) - 1;

/// Reads `policy`, `pools` and `services`.
void readCommon(framework::CheckedObject&, Bundle&);
/// Adds `models` and `adapters` after checking them against the pools and models that the bundle already contains.
void readEntries(framework::CheckedObject&, Bundle&);

/// The key at which an entry is invalid, and what was expected there.
struct EntryFault {
    std::string key;
    std::string expected;
};

/// Checks whether the bundle's pools exist and have enough memory for the entry's replicas. Returns the first fault, or
/// std::nullopt if there is none.
std::optional<EntryFault> faultOf(const Model&, const Bundle&);
std::optional<EntryFault> faultOf(const Adapter&, const Bundle&);

} // namespace lagoon::bundle
