#include "http/tests/exchangefixture.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace lagoon::http {

namespace {

using testing::ExchangeFixture;
using testing::RawCaller;

const std::string requestText
    = "POST /x?y=1 HTTP/1.1\r\nHost: a\r\nX-Request-Attempt: 1\r\nTransfer-Encoding: chunked\r\n"
      "\r\n3\r\nabc\r\n5;ext=1\r\nfghij\r\n0\r\nTrailer: x\r\n\r\n";

std::string corruptedRequest(std::mt19937& random)
{
    std::string text = requestText;
    const std::size_t changes = 1 + random() % 4;
    for (std::size_t change = 0; change < changes && !text.empty(); ++change) {
        const std::size_t at = random() % text.size();
        if (random() % 3 == 0)
            text.erase(at, 1 + random() % 6);
        else if (random() % 2 == 0)
            text[at] = static_cast<char>(random());
        else
            text.insert(at, text.substr(at, random() % 30));
    }
    return text;
}

} // namespace

// For any input, the server answers or closes the connection, and continues to serve other callers.
BOOST_FIXTURE_TEST_CASE(corruptedRequestsDoNotStopTheServer, ExchangeFixture)
{
    std::mt19937 random(20261202);
    onThread([&] {
        ExchangeLimits limits;
        limits.headerTimeout = framework::Milliseconds(5);
        limits.idleTimeout = framework::Milliseconds(5);
        server.setLimits(limits);
    });
    for (int index = 0; index < 600; ++index) {
        RawCaller caller(endpoint);
        caller.send(corruptedRequest(random) + "GET /next HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
        caller.disconnect();
    }
    RawCaller caller(endpoint);
    caller.send(get("/sound"));
    BOOST_TEST(caller.readUntil("GET /sound"));
}

} // namespace lagoon::http
