#pragma once

#include <string>
#include <string_view>

namespace lagoon::bundle {

/// SHA-256 as 64 hexadecimal digits.
std::string sha256(std::string_view bytes);

} // namespace lagoon::bundle
