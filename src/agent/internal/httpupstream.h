#pragma once

#include "agent/iupstream.h"

#include <memory>
#include <string>

namespace lagoon::agent {

/// An upstream that speaks HTTP, by cpprest's client.
std::shared_ptr<IUpstream> makeHttpUpstream(const std::string& url);

} // namespace lagoon::agent
