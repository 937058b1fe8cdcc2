#pragma once

#include "agent/iupstream.h"

#include <memory>
#include <string>

namespace lagoon::agent {

/// Creates a client of an upstream that speaks HTTP.
std::shared_ptr<IUpstream> makeHttpUpstream(const std::string& url);

/// Opens a connection to the upstream and closes it. Returns false if it was refused: the upstream's process has ended.
/// Blocks.
bool acceptsConnections(const std::string& url);

} // namespace lagoon::agent
