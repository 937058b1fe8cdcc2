#include "fleet/runningfleet.h"
#include "http/testing/brokenanswers.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <functional>
#include <future>
#include <string>

using namespace lagoon::fleet;
using namespace lagoon::testsupport;
using lagoon::http::testing::BrokenAnswer;

namespace {

/// More than the kernel takes of a request that its server doesn't read, and less than routers accept.
const std::string largeBody(3900000, 'x');

/// The only server of a plain service, whose answers the test writes byte by byte.
struct BrokenAnswersFixture : RunningFleet {
    BrokenAnswersFixture()
    {
        for (const PlainStandin* const other : { &plain1, &plain2 }) {
            fleet.list(*other, "plain", "draining");
            waitUntilListed(other->endpoint() + R"(","state":"leaving")");
        }
        store.put("servers", "broken", Fleet::entry(plain1, "plain", server.endpoint()));
        waitUntilListed(server.endpoint());
    }

    void waitUntilListed(const std::string& text)
    {
        waitFor("a server is listed", [&] { return hasLogged(text); });
    }

    /// Sends a request, whose caller's try is `attempt`, and lets the server answer it.
    CallerAnswer exchange(const std::string& body, const std::function<void(TcpPeer&)>& answer)
    {
        const CallerRequest request { .target = "/post/1", .attempt = attempt, .body = body };
        auto called = std::async(std::launch::async, [this, request] { return fleet.call(request); });
        TcpPeer peer = server.accept();
        (void)peer.receiveUntil("\r\n\r\n");
        answer(peer);
        return called.get();
    }

    bool hasLogged(const std::string& text) { return !fleet.logLinesContaining(text).empty(); }

    const std::string attempt = "a1";
    /// The fields that mark an answer to this request as its server's.
    const std::string marks = "X-Request-Attempt: " + attempt + "\r\nX-Response-Seal: seal\r\n";
    TcpServer server;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswers, BrokenAnswersFixture)

// Prevents a status that isn't one from reaching a client.
BOOST_AUTO_TEST_CASE(aStatusOfZeroIsNotPassedOn)
{
    const std::string bytes = BrokenAnswer { .status = "000 " }.text(marks);
    const CallerAnswer answer = exchange("body", [&](TcpPeer& peer) { peer.send(bytes); });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.isComplete);
    BOOST_TEST(hasLogged("bad status: 0"));
}

// Prevents a line that continues a field from reaching a client as a part of that field.
BOOST_AUTO_TEST_CASE(aFoldedLineIsNotPassedOn)
{
    const std::string bytes = BrokenAnswer { .fields = "Content-Length: 2\r\nX-A: a\r\n b" }.text(marks);
    const CallerAnswer answer = exchange("body", [&](TcpPeer& peer) { peer.send(bytes); });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.headers.count("X-A") == 0U);
}

// Prevents a client from getting a part of an answer as a whole one: a server without a length resets the connection
// while the upload is still being written.
BOOST_AUTO_TEST_CASE(aResetDuringTheUploadIsNoWholeAnswer)
{
    const CallerAnswer answer = exchange(largeBody, [&](TcpPeer& peer) {
        peer.send("HTTP/1.1 200 OK\r\n" + marks + "\r\npart");
        peer.reset();
    });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.body != "part");
}

BOOST_AUTO_TEST_CASE(anEarlyRefusalWithALengthIsPassedOn)
{
    const CallerAnswer answer = exchange(largeBody, [&](TcpPeer& peer) {
        peer.send(BrokenAnswer { .status = "413 Content Too Large" }.text(marks));
        peer.close();
    });
    BOOST_TEST(answer.status == 413);
    BOOST_TEST(answer.body == "ok");
    BOOST_TEST(answer.isComplete);
}

BOOST_AUTO_TEST_SUITE_END()
