#include "agent/internal/memoryaccount.h"

namespace lagoon::agent {

using framework::MebiBytes;

void MemoryAccount::setTotal(MebiBytes total)
{
    hasTotal_ = true;
    total_ = total;
}

bool MemoryAccount::reserve(const ReplicaId& id, MebiBytes memory)
{
    if (!hasTotal_)
        return false;
    const auto found = reserved_.find(id);
    const std::uint64_t own = found == reserved_.end() ? 0 : found->second.value();
    if (memory.value() > own && memory.value() - own > available().value())
        return false;
    if (memory.value() > own)
        reserved_[id] = memory;
    return true;
}

void MemoryAccount::setReservation(const ReplicaId& id, MebiBytes memory) { reserved_[id] = memory; }

void MemoryAccount::free(const ReplicaId& id) { reserved_.erase(id); }

MebiBytes MemoryAccount::used() const
{
    std::uint64_t sum = 0;
    for (const auto& [id, memory] : reserved_)
        sum += memory.value();
    return MebiBytes(sum);
}

MebiBytes MemoryAccount::available() const
{
    const std::uint64_t taken = used().value();
    return MebiBytes(taken >= total_.value() ? 0 : total_.value() - taken);
}

} // namespace lagoon::agent
