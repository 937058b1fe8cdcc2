#pragma once

#include "framework/types/ids.h"

#include <map>
#include <string>

namespace lagoon::app {

/// Prints the line by which whoever started the process learns that it serves, and where.
void printReadyLine(
    const std::string& role, const framework::VmName&, const std::map<std::string, framework::Endpoint>& endpoints);

} // namespace lagoon::app
