#pragma once

#include "catalog/types/configuration.h"

#include <set>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

/// The pending requests by the key that admitted them. A new configuration is compared with the keys in use alone, so
/// its cost doesn't depend on how many keys it names.
template <typename Request> class RequestsByKey {
public:
    void add(const catalog::KeyDigest& key, Request request) { requests_[key].insert(std::move(request)); }

    void remove(const catalog::KeyDigest& key, const Request& request)
    {
        const auto found = requests_.find(key);
        if (found != requests_.end() && found->second.erase(request) > 0 && found->second.empty())
            requests_.erase(found);
    }

    /// Returns the requests whose key no customer of the configuration holds any more; none if it doesn't tell callers
    /// apart. A key that another customer holds now isn't revoked.
    std::vector<Request> revokedBy(const catalog::Configuration& configuration) const
    {
        std::vector<Request> revoked;
        if (!configuration.customers)
            return revoked;
        for (const auto& [key, requests] : requests_) {
            if (!configuration.customers->find(key))
                revoked.insert(revoked.end(), requests.begin(), requests.end());
        }
        return revoked;
    }

    std::size_t keys() const { return requests_.size(); }

private:
    std::unordered_map<catalog::KeyDigest, std::set<Request>, catalog::KeyDigestHash> requests_;
};

} // namespace lagoon::forwarding
