#pragma once

#include <cstddef>

namespace lagoon::framework {

/// The number of files and sockets that this process may have open.
std::size_t maxDescriptors();

} // namespace lagoon::framework
