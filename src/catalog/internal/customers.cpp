#include "catalog/types/customer.h"

#include <cstring>
#include <openssl/sha.h>
#include <utility>

namespace lagoon::catalog {

KeyDigest KeyDigest::of(std::string_view key)
{
    Bytes bytes {};
    SHA256(reinterpret_cast<const unsigned char*>(key.data()), key.size(), bytes.data());
    return KeyDigest(bytes);
}

std::size_t KeyDigestHash::operator()(const KeyDigest& digest) const
{
    std::size_t hash = 0;
    std::memcpy(&hash, digest.bytes_.data(), sizeof hash);
    return hash;
}

void Customers::add(Customer customer)
{
    const std::size_t position = customers_.size();
    byName_.try_emplace(customer.name, position);
    for (const KeyDigest& key : customer.keys) {
        const std::size_t holder = byKey_.try_emplace(key, position).first->second;
        if (holder != position)
            noteFault({ CustomerFault::Kind::KeyOfAnother, customer.position, customer.name, customers_[holder].name });
    }
    hasQuotas_ = hasQuotas_ || customer.quota.isLimited();
    customers_.push_back(std::move(customer));
}

void Customers::noteFault(CustomerFault fault)
{
    if (++allFaults_ <= maxListedFaults)
        faults_.push_back(std::move(fault));
}

const Customer* Customers::find(const KeyDigest& key) const
{
    const auto found = byKey_.find(key);
    return found == byKey_.end() ? nullptr : &customers_[found->second];
}

const Customer* Customers::find(const CustomerName& name) const
{
    const auto found = byName_.find(name);
    return found == byName_.end() ? nullptr : &customers_[found->second];
}

} // namespace lagoon::catalog
