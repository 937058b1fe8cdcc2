#include "policy/rendezvous.h"

#include <algorithm>
#include <utility>

namespace lagoon::policy {

namespace {

constexpr std::uint64_t fnvPrime = 1099511628211ULL;

} // namespace

std::uint64_t fnv1a(const char* bytes, std::size_t size, std::uint64_t hash)
{
    for (std::size_t index = 0; index < size; ++index) {
        hash ^= static_cast<unsigned char>(bytes[index]);
        hash *= fnvPrime;
    }
    return hash;
}

std::uint64_t mixBits(std::uint64_t hash)
{
    hash = (hash ^ (hash >> 30)) * 0xbf58476d1ce4e5b9ULL;
    hash = (hash ^ (hash >> 27)) * 0x94d049bb133111ebULL;
    return hash ^ (hash >> 31);
}

std::vector<framework::VmName> rendezvousOrder(const std::string& key, std::vector<framework::VmName> vms)
{
    std::vector<std::pair<std::uint64_t, framework::VmName>> weighed;
    weighed.reserve(vms.size());
    for (framework::VmName& vm : vms) {
        const std::string text = key + '\n' + vm.value();
        // FNV-1a mixes its high bits poorly for short keys that differ only at the end.
        weighed.emplace_back(mixBits(fnv1a(text.data(), text.size())), std::move(vm));
    }
    std::sort(weighed.begin(), weighed.end(), std::greater<>());
    std::vector<framework::VmName> order;
    order.reserve(weighed.size());
    for (auto& [weight, vm] : weighed)
        order.push_back(std::move(vm));
    return order;
}

} // namespace lagoon::policy
