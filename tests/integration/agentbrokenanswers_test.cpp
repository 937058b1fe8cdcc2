#include "http/testing/brokenanswers.h"
#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace lagoon::testsupport;
using lagoon::http::testing::BrokenAnswer;
using web::json::value;

namespace {

/// A router, and an agent beside a service whose answers the test writes byte by byte.
struct BrokenUpstreamFixture {
    BrokenUpstreamFixture()
    {
        UpstreamOptions options { .kind = UpstreamKind::Service, .pool = "booking" };
        options.extraSettings["upstream"]["kind"] = value::string("service");
        options.extraSettings["upstream"]["url"] = value::string(urlOf(server.endpoint(), ""));
        deployment.addUpstream("booking-1", options);
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1).servicePool("booking", "old").service("slots", { "booking" }).text());
        deployment.waitUntilReady();
    }

    HttpAnswer answerWith(const BrokenAnswer& answer)
    {
        PendingCall call(serviceCall(deployment.router("entry-1").callers(), "slots", "token"));
        // After a failure the agent also checks whether the upstream accepts connections.
        TcpPeer peer = server.accept();
        while (peer.receiveUntil("}").empty())
            peer = server.accept();
        peer.send(answer.text());
        peer.close();
        return call.answer();
    }

    TcpServer server;
    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(BrokenAnswersOfUpstreams, BrokenUpstreamFixture)

BOOST_AUTO_TEST_CASE(aSoundAnswerIsPassedOn) { BOOST_TEST(answerWith({}).body == "ok"); }

// Prevents an answer that breaks HTTP/1.1 from reaching a client through an agent.
BOOST_AUTO_TEST_CASE(brokenAnswersAreNotPassedOn)
{
    for (const BrokenAnswer& broken : { BrokenAnswer { .status = "000 " }, BrokenAnswer { .fields = "X Seal: a" },
             BrokenAnswer { .fields = "Content-Length : 2" }, BrokenAnswer { .fields = "Transfer-Encoding: gzip" } }) {
        const HttpAnswer answer = answerWith(broken);
        BOOST_TEST(answer.status == 502, broken.text());
        BOOST_TEST(refusalField(answer, "execution") == "unknown");
    }
    waitFor("the fault is logged",
        [this] { return deployment.upstream("booking-1").agent->log().find("bad status: 0") != std::string::npos; });
}

// Prevents bytes of a malformed answer, which may be anyone's, from reaching a client in the text of its refusal.
BOOST_AUTO_TEST_CASE(bytesOfABrokenAnswerAreOnlyLogged)
{
    for (const BrokenAnswer& broken : { BrokenAnswer { .version = "secret" }, BrokenAnswer { .fields = "secret key" },
             BrokenAnswer { .fields = "Transfer-Encoding: secret" }, BrokenAnswer { .fields = "secret: a\r\n b" } }) {
        const HttpAnswer answer = answerWith(broken);
        BOOST_TEST(answer.status == 502);
        BOOST_TEST(refusalField(answer, "execution") == "unknown");
        BOOST_TEST(answer.body.find("secret") == std::string::npos, answer.body);
    }
    waitFor("the bytes are logged",
        [this] { return deployment.upstream("booking-1").agent->log().find("secret key") != std::string::npos; });
}

// Prevents a command from reporting success on an answer that breaks HTTP/1.1.
BOOST_AUTO_TEST_CASE(commandsRefuseBrokenAnswers)
{
    for (const BrokenAnswer& broken : { BrokenAnswer { .fields = "Content-Length : 2" },
             BrokenAnswer { .fields = "Transfer-Encoding: gzip" }, BrokenAnswer { .fields = "X Seal: a" } }) {
        std::string output;
        auto exitCode = std::async(std::launch::async, [&] {
            return deployment.runCommand({ "quarantine", "list", "--router", server.endpoint() }, &output);
        });
        TcpPeer peer = server.accept();
        (void)peer.receiveUntil("\r\n\r\n");
        peer.send(broken.text());
        peer.close();
        BOOST_TEST(exitCode.get() == 1, broken.text() << output);
    }
}

BOOST_AUTO_TEST_SUITE_END()
