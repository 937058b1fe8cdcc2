#pragma once

#include "bundle/types/bundle.h"
#include "framework/checkedjson.h"

/// The parts of a bundle's JSON. Faults stay in the object that is read; see CheckedObject::finish.
namespace lagoon::bundle {

/// Larger texts are refused before they are parsed.
inline constexpr std::size_t maxBundleBytes = 16 * 1024 * 1024;
/// Versions stay exact in every JSON reader.
inline constexpr std::uint64_t maxBundleVersion = (1ULL << 53U) - 1;

/// Reads `policy`, `pools` and `services`.
void readCommon(framework::CheckedObject&, Bundle&);
/// Adds `models` and `adapters`, checked against the pools and models that the bundle has already.
void readEntries(framework::CheckedObject&, Bundle&);

/// A key of an entry and what was expected there.
struct EntryFault {
    std::string key;
    std::string expected;
};

/// Whether the bundle's pools can carry what the entry decides. The first fault, if there is one.
std::optional<EntryFault> faultOf(const Model&, const Bundle&);
std::optional<EntryFault> faultOf(const Adapter&, const Bundle&);

} // namespace lagoon::bundle
