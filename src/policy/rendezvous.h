#pragma once

#include "framework/types/ids.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

/// Policies decide without I/O and without a clock: each is a plain class that is given all its input, so that tests
/// and benchmarks run the same code as the processes.
namespace lagoon::policy {

/// Returns the VMs by descending rendezvous weight for a key. All processes with the same list get the same order, and
/// the loss of one VM moves only the keys for which it came first.
std::vector<framework::VmName> rendezvousOrder(const std::string& key, std::vector<framework::VmName>);

/// FNV-1a hash of the bytes, continued from `hash`.
std::uint64_t fnv1a(const char* bytes, std::size_t size, std::uint64_t hash = 14695981039346656037ULL);

/// Mixes the bits of a hash so that each input bit affects all output bits (the finaliser of splitmix64).
std::uint64_t mixBits(std::uint64_t hash);

} // namespace lagoon::policy
