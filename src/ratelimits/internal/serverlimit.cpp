#include "ratelimits/types/serverlimit.h"

#include "framework/decimal.h"

namespace lagoon::ratelimits {

ServerRunKey serverRunKey(const catalog::UpstreamRun& run)
{
    std::string text = run.instance.value();
    if (run.started)
        text += '@' + std::to_string(run.started->value());
    return ServerRunKey(std::move(text));
}

std::optional<RequestRate> parseRate(std::string_view text)
{
    const auto perSecond = framework::parseDecimal(text);
    return perSecond ? std::optional(RequestRate(*perSecond)) : std::nullopt;
}

void addField(LimitHeader& header, std::string_view value)
{
    header.isPresent = true;
    const auto rate = parseRate(value);
    if (rate && (!header.rate || *rate < *header.rate))
        header.rate = rate;
}

} // namespace lagoon::ratelimits
