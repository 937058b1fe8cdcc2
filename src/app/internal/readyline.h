#pragma once

#include "framework/types/ids.h"

#include <map>
#include <string>

namespace lagoon::app {

/// Prints a JSON line that tells whoever started the process that it is ready, and which endpoints it listens on.
void printReadyLine(
    const std::string& role, const framework::VmName&, const std::map<std::string, framework::Endpoint>& endpoints);

} // namespace lagoon::app
