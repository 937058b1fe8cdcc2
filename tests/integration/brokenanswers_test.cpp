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
        list("broken");
    }

    /// Adds an instance of the server to the store's list.
    void list(const std::string& instance)
    {
        store.put("servers", instance, Fleet::entry(plain1, "plain", server.endpoint()));
        waitUntilListed("\"" + instance + "\"");
    }

    void waitUntilListed(const std::string& text)
    {
        waitFor("a server is listed", [&] { return hasLogged(text); });
    }

    /// Sends a request whose head the server reads before the given function answers it.
    CallerAnswer exchange(
        const std::string& body, const std::function<void(TcpPeer&)>& answer, const std::string& target = "/post/1")
    {
        const CallerRequest request { .target = target, .attempt = attempt, .body = body };
        auto called = std::async(std::launch::async, [this, request] { return fleet.call(request); });
        TcpPeer peer = server.accept();
        (void)peer.receiveUntil("\r\n\r\n");
        answer(peer);
        return called.get();
    }

    /// Answers a request that the server has read whole, and closes the connection in order.
    CallerAnswer answerWith(const BrokenAnswer& answer)
    {
        const std::string body = "body";
        return exchange(body, [&](TcpPeer& peer) {
            (void)peer.receive(body.size());
            peer.send(answer.text(marks));
            peer.close();
        });
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
    const CallerAnswer answer = answerWith({ .status = "000 " });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.isComplete);
    waitFor("the fault is logged", [this] { return hasLogged("bad status: 0"); });
}

// Prevents a line that continues a field from reaching a client as a part of that field.
BOOST_AUTO_TEST_CASE(aFoldedLineIsNotPassedOn)
{
    const CallerAnswer answer = answerWith({ .fields = "Content-Length: 2\r\nX-A: a\r\n b" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.headers.count("X-A") == 0U);
}

// Prevents a coding that isn't decoded from reaching a client as a body.
BOOST_AUTO_TEST_CASE(anUnknownCodingIsNotPassedOn)
{
    const CallerAnswer answer = answerWith({ .fields = "Transfer-Encoding: gzip" });
    BOOST_TEST(answer.status == 502);
    BOOST_TEST(answer.body != "ok");
}

// Prevents a request that may have run from being sent again, and one that may run twice from failing.
BOOST_AUTO_TEST_CASE(onlyIdempotentRequestsAreSentAgain)
{
    list("other");
    BOOST_TEST(answerWith({ .status = "000 " }).status == 502);
    BOOST_TEST(!server.hasConnection());
    const auto failOnce = [&](TcpPeer& peer) {
        peer.send(BrokenAnswer { .status = "000 " }.text(marks));
        TcpPeer other = server.accept();
        (void)other.receiveUntil("\r\n\r\n");
        other.send(BrokenAnswer().text(marks));
    };
    const CallerAnswer answer = exchange("body", failOnce, "/get/1");
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.body == "ok");
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
