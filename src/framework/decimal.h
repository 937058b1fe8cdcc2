#pragma once

#include <optional>
#include <string_view>

namespace lagoon::framework {

/// Returns the text without spaces and tabs at its ends.
std::string_view trimmed(std::string_view);

/// Parses digits with at most one decimal point, with spaces or tabs around them. Signs, exponents, infinity and texts
/// that aren't numbers yield std::nullopt. A number beyond the range of double yields the greatest double.
std::optional<double> parseDecimal(std::string_view);

} // namespace lagoon::framework
