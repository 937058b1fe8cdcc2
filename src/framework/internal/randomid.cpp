#include "framework/randomid.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <functional>
#include <random>

namespace lagoon::framework {

namespace {

/// The device itself takes microseconds for each number on some processors.
std::mt19937_64 seededGenerator()
{
    constexpr std::size_t seedWords = 16;
    std::random_device device;
    std::array<std::uint32_t, seedWords> words {};
    std::generate(words.begin(), words.end(), std::ref(device));
    std::seed_seq seed(words.begin(), words.end());
    return std::mt19937_64(seed);
}

} // namespace

std::uint64_t randomNumber()
{
    thread_local std::mt19937_64 generator = seededGenerator();
    std::uint64_t number = 0;
    while (number == 0)
        number = generator();
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
