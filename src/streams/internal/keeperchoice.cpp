#include "streams/keeperchoice.h"

#include "policy/rendezvous.h"

#include <algorithm>
#include <set>
#include <utility>

namespace lagoon::streams {

namespace {

std::uint64_t hashOf(const AttemptKey& attempt, std::uint64_t keeperHash)
{
    const std::string bytes(attempt.bytes().begin(), attempt.bytes().end());
    return policy::mixBits(policy::fnv1a(bytes.data(), bytes.size(), keeperHash));
}

} // namespace

void KeeperChoice::setKeepers(const std::vector<Keeper>& keepers)
{
    keepers_.clear();
    for (const Keeper& keeper : keepers) {
        const std::string& name = keeper.engine.value();
        keepers_.push_back({ keeper, policy::fnv1a(name.data(), name.size()) });
    }
}

std::vector<framework::Endpoint> KeeperChoice::order(const AttemptKey& attempt) const
{
    std::vector<std::pair<std::uint64_t, const Keeper*>> weighed;
    weighed.reserve(keepers_.size());
    for (const Hashed& hashed : keepers_)
        weighed.emplace_back(hashOf(attempt, hashed.hash), &hashed.keeper);
    std::sort(weighed.begin(), weighed.end(), [](const auto& left, const auto& right) {
        return std::tie(left.first, left.second->engine) > std::tie(right.first, right.second->engine);
    });
    std::set<framework::FailureDomainName> domains;
    std::vector<framework::Endpoint> order;
    std::vector<framework::Endpoint> others;
    for (const auto& [weight, keeper] : weighed)
        (domains.insert(keeper->failureDomain).second ? order : others).push_back(keeper->engine);
    order.insert(order.end(), others.begin(), others.end());
    return order;
}

} // namespace lagoon::streams
