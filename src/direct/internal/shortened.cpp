#include "direct/internal/shortened.h"

namespace lagoon::direct {

std::string shortened(const std::string& text)
{
    constexpr std::size_t maxLoggedBytes = 64;
    if (text.size() <= maxLoggedBytes)
        return text;
    const auto isWithinCharacter
        = [&](std::size_t at) { return (static_cast<unsigned char>(text[at]) & 0xC0) == 0x80; };
    std::size_t end = maxLoggedBytes;
    while (end > 0 && isWithinCharacter(end))
        --end;
    return text.substr(0, end) + "...";
}

} // namespace lagoon::direct
