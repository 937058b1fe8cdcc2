#include "framework/randomid.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <set>
#include <thread>
#include <vector>

using namespace lagoon::framework;

BOOST_AUTO_TEST_SUITE(RandomNumbers)

// Prevents writes or runs of different threads from being taken for the same, if all generators begin alike.
BOOST_AUTO_TEST_CASE(numbersOfDifferentThreadsDiffer)
{
    constexpr std::size_t threads = 4;
    constexpr std::size_t numbers = 1000;
    std::vector<std::vector<std::uint64_t>> drawn(threads);
    std::vector<std::thread> running;
    for (std::vector<std::uint64_t>& ofThread : drawn)
        running.emplace_back([&ofThread] {
            for (std::size_t number = 0; number < numbers; ++number)
                ofThread.push_back(randomNumber());
        });
    std::set<std::uint64_t> all { 0 };
    for (std::size_t thread = 0; thread < threads; ++thread) {
        running.at(thread).join();
        all.insert(drawn.at(thread).begin(), drawn.at(thread).end());
    }
    BOOST_TEST(all.size() == threads * numbers + 1);
}

BOOST_AUTO_TEST_SUITE_END()
