#pragma once

#include "framework/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Decisions without I/O or clock: each is a plain class, given all it needs, so that tests and benchmarks drive the
/// very code that processes run.
namespace lagoon::policy {

/// The VMs by falling rendezvous weight for a key: the same order at everyone with the same list, and the loss of one
/// VM moves only the keys it was first for.
std::vector<framework::VmName> rendezvousOrder(const std::string& key, std::vector<framework::VmName>);

/// FNV-1a over bytes, continued from `hash`.
std::uint64_t fnv1a(const char* bytes, std::size_t size, std::uint64_t hash = 14695981039346656037ULL);

/// Spreads a hash over all its bits (splitmix64's finaliser).
std::uint64_t mixBits(std::uint64_t hash);

} // namespace lagoon::policy
