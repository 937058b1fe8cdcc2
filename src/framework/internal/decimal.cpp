#include "framework/decimal.h"

#include <charconv>
#include <limits>

namespace lagoon::framework {

namespace {

constexpr std::string_view whitespace = " \t";
constexpr std::string_view decimalCharacters = "0123456789.";

/// Whether the number is 1 or more.
bool hasIntegerPart(std::string_view number)
{
    const std::string_view integer = number.substr(0, number.find('.'));
    return integer.find_first_not_of('0') != std::string_view::npos;
}

} // namespace

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

std::optional<double> parseDecimal(std::string_view text)
{
    const std::string_view number = trimmed(text);
    if (number.find_first_not_of(decimalCharacters) != std::string_view::npos)
        return std::nullopt;
    double value = 0;
    const char* const end = number.data() + number.size();
    const auto read = std::from_chars(number.data(), end, value, std::chars_format::fixed);
    if (read.ptr != end)
        return std::nullopt;
    if (read.ec == std::errc())
        return value;
    if (read.ec != std::errc::result_out_of_range)
        return std::nullopt;
    // The standard leaves the value unchanged if the number is too large, and also if it is too small.
    return hasIntegerPart(number) ? std::numeric_limits<double>::max() : 0;
}

} // namespace lagoon::framework
