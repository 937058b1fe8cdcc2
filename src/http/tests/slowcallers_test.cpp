#include "http/internal/recentprogress.h"
#include "http/tests/exchangefixture.h"

#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::http {

namespace {

using testing::ExchangeFixture;
using testing::RawCaller;

constexpr std::size_t bodyBytes = 30000;

std::string bodyHead(const std::string& host, std::size_t bytes)
{
    return "POST /x HTTP/1.1\r\nHost: " + host + "\r\nContent-Length: " + std::to_string(bytes) + "\r\n\r\n";
}

/// Callers that stop just short of the end of their bodies, and together use up the memory for requests.
struct SlowCallers : ExchangeFixture {
    SlowCallers()
    {
        constexpr std::size_t memory = 100000;
        budget = std::make_shared<ByteBudget>(ByteBudget::Limits { 2 * memory, memory, memory, memory });
        onThread([this] {
            server.setBudget(budget, ResponseHead { 503, {}, {} });
            server.setRefusalHandler([this](const UnreadRefusal& refusal) { causes.push_back(refusal.cause); });
        });
    }

    void stall(const std::string& host)
    {
        stalled.push_back(std::make_unique<RawCaller>(endpoint));
        stalled.back()->send(bodyHead(host, bodyBytes) + std::string(bodyBytes - 1, 'x'));
    }

    void waitUntilStalled()
    {
        std::size_t used = 0;
        while (used < stalled.size() * (bodyBytes - 1))
            onThread([&] { used = budget->used(); });
        std::this_thread::sleep_for(2 * RecentProgress::window);
    }

    std::shared_ptr<ByteBudget> budget;
    std::vector<std::string> causes;
    std::vector<std::unique_ptr<RawCaller>> stalled;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CallersThatAreSlow, SlowCallers)

// Prevents callers that don't finish their bodies from shutting out those that do.
BOOST_AUTO_TEST_CASE(aStalledBodyMakesRoomForOneThatArrives)
{
    for (const char* host : { "a", "b", "c" })
        stall(host);
    waitUntilStalled();
    RawCaller caller(endpoint);
    const std::string body(bodyBytes, 'y');
    caller.send(bodyHead("d", bodyBytes) + body);
    BOOST_TEST(caller.readUntil("POST /x " + body));
    onThread([this] { BOOST_TEST(causes == std::vector<std::string>({ "memory needed for faster bodies" })); });
}

// Prevents the refusal of callers that send as fast as the one that needs memory.
BOOST_AUTO_TEST_CASE(aBodyMakesNoRoomForOneThatIsAsFast)
{
    RawCaller first(endpoint);
    first.send(bodyHead("a", 80000) + std::string(70000, 'x'));
    std::size_t used = 0;
    while (used < 70000)
        onThread([&] { used = budget->used(); });
    RawCaller second(endpoint);
    second.send(bodyHead("b", 60000) + std::string(60000, 'x'));
    BOOST_TEST(second.readToEnd().starts_with("HTTP/1.1 503 "));
    first.send(std::string(10000, 'x'));
    BOOST_TEST(first.readUntil("POST /x x"));
}

// Prevents a body that never ends from keeping its connection forever.
BOOST_AUTO_TEST_CASE(aBodyWithoutProgressIsRefused)
{
    onThread([this] {
        ExchangeLimits limits;
        limits.bodyProgressTimeout = limits.idleTimeout = framework::Milliseconds(50);
        server.setLimits(limits);
    });
    stall("a");
    BOOST_TEST(stalled.front()->readToEnd().starts_with("HTTP/1.1 408 "));
    onThread([this] { BOOST_TEST(budget->used() == 0u); });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
