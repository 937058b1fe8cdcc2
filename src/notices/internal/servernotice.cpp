#include "notices/types/servernotice.h"

#include "framework/decimal.h"

#include <cmath>

namespace lagoon::notices {

namespace {

using framework::Milliseconds;

constexpr std::string_view leavingValue = "1";

} // namespace

std::optional<Milliseconds> parseRest(std::string_view text)
{
    const auto seconds = framework::parseDecimal(text);
    if (!seconds)
        return std::nullopt;
    // Compared before the conversion: the result of converting a number that is out of range is undefined.
    const double milliseconds = std::ceil(*seconds * 1000);
    if (milliseconds >= static_cast<double>(maxRest.count()))
        return maxRest;
    return Milliseconds(static_cast<std::int64_t>(milliseconds));
}

void addRest(ServerNotice& notice, std::string_view value)
{
    const auto rest = parseRest(value);
    notice.isRestUnreadable = notice.isRestUnreadable || !rest;
    if (rest && (!notice.rest || *rest > *notice.rest))
        notice.rest = rest;
}

void addLeaving(ServerNotice& notice, std::string_view value)
{
    notice.isLeaving = notice.isLeaving || framework::trimmed(value) == leavingValue;
}

} // namespace lagoon::notices
