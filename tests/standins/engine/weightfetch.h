#pragma once

#include "standins/engine/replicatable.h"

#include <string>

namespace lagoon::standins {

/// Fetches a checkpoint from the weight store at `url` (none: at once), waiting out its rate limit. False if it can't
/// be had.
bool fetchWeights(const std::string& url, const ReplicaKey&);

} // namespace lagoon::standins
