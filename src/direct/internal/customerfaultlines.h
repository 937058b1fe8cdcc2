#pragma once

#include "catalog/types/configuration.h"
#include "framework/decisionlog.h"

#include <vector>

namespace lagoon::direct {

/// The log lines about what a configuration says of its customers and can't be used; a bounded number. They name
/// entries by their positions, and customers, but never a key.
std::vector<framework::LogLine> customerFaultLines(const catalog::Configuration&);

} // namespace lagoon::direct
