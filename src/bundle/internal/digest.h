#pragma once

#include <string>
#include <string_view>

namespace lagoon::bundle {

/// Returns the SHA-256 digest as 64 hexadecimal digits.
std::string sha256(std::string_view bytes);

} // namespace lagoon::bundle
