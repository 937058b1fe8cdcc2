#pragma once

#include <string>

namespace lagoon::direct {

/// Truncates a text for the log: who writes an entry of the store chooses its names, which may have any length.
std::string shortened(const std::string&);

} // namespace lagoon::direct
