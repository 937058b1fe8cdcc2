#include "framework/randomid.h"

#include <cstdio>
#include <random>

namespace lagoon::framework {

std::uint64_t randomNumber()
{
    thread_local std::random_device device;
    std::uint64_t number = 0;
    while (number == 0)
        number = (static_cast<std::uint64_t>(device()) << 32) | device();
    return number;
}

double randomFraction()
{
    constexpr int mantissaBits = 53;
    return static_cast<double>(randomNumber() >> (64 - mantissaBits)) / static_cast<double>(1ULL << mantissaBits);
}

Incarnation newIncarnation() { return Incarnation(randomNumber()); }

std::string newNonce()
{
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(randomNumber()));
    return text;
}

} // namespace lagoon::framework
