#pragma once

#include "standins/engine/replicatable.h"

#include <string>

namespace lagoon::standins {

/// Fetches a checkpoint from the weight store at `url`, retrying while the store is limiting the rate (429). Returns
/// false if the fetch fails, and true immediately if `url` is empty.
bool fetchWeights(const std::string& url, const ReplicaKey&);

} // namespace lagoon::standins
