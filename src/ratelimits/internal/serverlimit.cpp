#include "ratelimits/types/serverlimit.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace lagoon::ratelimits {

namespace {

constexpr std::string_view whitespace = " \t";
constexpr std::string_view decimalCharacters = "0123456789.";

std::string_view trimmed(std::string_view text)
{
    const std::size_t first = text.find_first_not_of(whitespace);
    if (first == std::string_view::npos)
        return {};
    return text.substr(first, text.find_last_not_of(whitespace) - first + 1);
}

} // namespace

ServerRunKey serverRunKey(const catalog::UpstreamRun& run)
{
    std::string text = run.instance.value();
    if (run.started)
        text += '@' + std::to_string(run.started->value());
    return ServerRunKey(std::move(text));
}

std::optional<RequestRate> parseRate(std::string_view text)
{
    const std::string_view number = trimmed(text);
    // Excludes signs, exponents, infinity and values that aren't numbers.
    if (number.find_first_not_of(decimalCharacters) != std::string_view::npos)
        return std::nullopt;
    double perSecond = 0;
    const char* const end = number.data() + number.size();
    const auto read = std::from_chars(number.data(), end, perSecond, std::chars_format::fixed);
    if (read.ec != std::errc() || read.ptr != end || !std::isfinite(perSecond))
        return std::nullopt;
    return RequestRate(perSecond);
}

void addField(LimitHeader& header, std::string_view value)
{
    header.isPresent = true;
    const auto rate = parseRate(value);
    if (rate && (!header.rate || *rate < *header.rate))
        header.rate = rate;
}

} // namespace lagoon::ratelimits
