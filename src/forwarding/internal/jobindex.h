#pragma once

#include "forwarding/requestsbykey.h"
#include "framework/types/ids.h"

#include <cstddef>
#include <memory>
#include <set>
#include <unordered_map>
#include <vector>

namespace lagoon::forwarding {

class RequestJob;

/// The requests in progress, also by their model and by the key that admitted them. Traffic thread only.
class JobIndex {
public:
    using Job = std::shared_ptr<RequestJob>;
    using Jobs = std::set<Job>;

    void add(const Job&);
    void remove(const Job&);
    const Jobs& all() const { return all_; }
    std::size_t size() const { return all_.size(); }
    Jobs forModels(const std::vector<framework::ModelName>&) const;
    /// Returns the requests whose key no customer of the configuration holds any more.
    std::vector<Job> revokedBy(const catalog::Configuration& configuration) const
    {
        return byKey_.revokedBy(configuration);
    }

private:
    Jobs all_;
    std::unordered_map<framework::ModelName, Jobs> byModel_;
    RequestsByKey<Job> byKey_;
};

} // namespace lagoon::forwarding
