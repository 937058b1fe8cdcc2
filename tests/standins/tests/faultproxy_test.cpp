#include "support/httpcall.h"
#include "support/programs.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;
using lagoon::framework::Milliseconds;

namespace {

/// A server, the proxy before it, and one connection through it.
struct ProxyFixture {
    explicit ProxyFixture(const std::vector<std::string>& words = {})
        : proxy(startProgram(Program::FaultProxy, "proxy", withTarget(words), folder))
        , client(proxy->readyText("proxy"))
        , serverSide(server.accept())
    {
    }

    std::vector<std::string> withTarget(std::vector<std::string> words) const
    {
        words.insert(words.end(), { "--to", server.endpoint() });
        return words;
    }

    void set(const std::string& faults) { setFaults(proxy->readyText("http"), faults); }
    std::uint64_t number(const std::string& direction, const std::string& name)
    {
        return getJson(proxy->readyText("http"), "/standin/record").at(direction).at(name).as_number().to_uint64();
    }
    void checkNewConnectionWorks()
    {
        TcpPeer another(proxy->readyText("proxy"));
        TcpPeer anotherServerSide = server.accept();
        another.send("there");
        BOOST_TEST(anotherServerSide.receive(5) == "there");
        anotherServerSide.send("back");
        BOOST_TEST(another.receive(4) == "back");
    }

    TemporaryFolder folder;
    TcpServer server;
    std::unique_ptr<ChildProcess> proxy;
    TcpPeer client;
    TcpPeer serverSide;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FaultProxy)

BOOST_AUTO_TEST_CASE(carriesBytesAndEndsBothWays)
{
    ProxyFixture all;
    all.client.send("question");
    BOOST_TEST(all.serverSide.receive(8) == "question");
    all.serverSide.send("answer");
    BOOST_TEST(all.client.receive(6) == "answer");
    all.serverSide.close();
    BOOST_TEST(all.client.reachesEnd());
}

BOOST_AUTO_TEST_CASE(delaysOneDirection)
{
    ProxyFixture all;
    all.set(R"({"delay_ms": {"to_client": 200}})");
    const auto before = std::chrono::steady_clock::now();
    all.serverSide.send("late");
    BOOST_TEST(all.client.receive(4) == "late");
    BOOST_TEST((std::chrono::steady_clock::now() - before >= Milliseconds(200)));
    all.set(R"({"delay_ms": {"to_server": 600000}})");
    all.serverSide.send("soon");
    BOOST_TEST(all.client.receive(4) == "soon");
}

BOOST_AUTO_TEST_CASE(cutsPresentConnectionsOnly)
{
    ProxyFixture all;
    all.set(R"({"cut": true})");
    BOOST_TEST(all.client.reachesEnd());
    BOOST_TEST(all.serverSide.reachesEnd());
    all.checkNewConnectionWorks();
}

// A state table between two hosts forgets a connection: neither end hears of it, what they send vanishes, and even
// the end of one isn't seen by the other. Another connection between the same hosts works.
BOOST_AUTO_TEST_CASE(silencesPresentConnectionsForGood)
{
    ProxyFixture all;
    all.set(R"({"silent": "both"})");
    all.client.send("lost question");
    all.serverSide.send("lost answer");
    waitFor("both were swallowed", [&] {
        return all.number("to_server", "swallowed_bytes") == 13 && all.number("to_client", "swallowed_bytes") == 11;
    });
    BOOST_TEST(!all.client.hasInput());
    all.checkNewConnectionWorks();
    all.client.close();
    all.checkNewConnectionWorks();
    BOOST_TEST(!all.serverSide.hasInput());
}

BOOST_AUTO_TEST_CASE(silencesOneDirection)
{
    ProxyFixture all;
    all.set(R"({"silent": "to_client"})");
    all.serverSide.send("lost");
    all.client.send("heard");
    BOOST_TEST(all.serverSide.receive(5) == "heard");
    waitFor("it was swallowed", [&] { return all.number("to_client", "swallowed_bytes") == 4; });
    BOOST_TEST(!all.client.hasInput());
}

// A request lies in a buffer on the way. The client gives up and closes. Then the request arrives after all.
BOOST_AUTO_TEST_CASE(deliversHeldBytesAfterTheClientClosed)
{
    ProxyFixture all;
    all.set(R"({"hold": "to_server"})");
    all.client.send("late request");
    waitFor("it is held", [&] { return all.number("to_server", "held_bytes") == 12; });
    all.client.close();
    BOOST_TEST(!all.serverSide.hasInput());
    all.set(R"({"release": true})");
    BOOST_TEST(all.serverSide.receive(12) == "late request");
    BOOST_TEST(all.serverSide.reachesEnd());
}

BOOST_AUTO_TEST_CASE(swapsTwoFrames)
{
    ProxyFixture all({ "--frames" });
    all.set(R"({"swap": {"to_client": 1}})");
    const std::string first = frameOf("first");
    const std::string second = frameOf("the second");
    const std::string third = frameOf("third");
    all.serverSide.send(first + second.substr(0, 6));
    all.serverSide.send(second.substr(6) + third);
    const std::string expected = second + first + third;
    BOOST_TEST(all.client.receive(expected.size()) == expected);
}

// The server has done the work and answers, but the connection ends before the answer arrives.
BOOST_AUTO_TEST_CASE(losesAnAnswerAfterTheRequestWentThrough)
{
    ProxyFixture all;
    all.set(R"({"lose_answer": {"count": 1}})");
    all.client.send("request");
    BOOST_TEST(all.serverSide.receive(7) == "request");
    all.serverSide.send("answer");
    BOOST_TEST(all.client.reachesEnd());
    BOOST_TEST(all.serverSide.reachesEnd());
    all.checkNewConnectionWorks();
}

BOOST_AUTO_TEST_CASE(cutsAnAnswerInItsMiddle)
{
    ProxyFixture all;
    all.set(R"({"lose_answer": {"count": 1, "after_bytes": 4}})");
    all.serverSide.send("answer");
    BOOST_TEST(all.client.receive(6) == "answ");
}

BOOST_AUTO_TEST_CASE(refusesNewConnectionsAndCarriesElsewhere)
{
    ProxyFixture all;
    all.set(R"({"refuse": true})");
    TcpPeer refused(all.proxy->readyText("proxy"));
    BOOST_TEST(refused.reachesEnd());
    TcpServer other;
    all.set(R"({"refuse": false, "to": ")" + other.endpoint() + "\"}");
    TcpPeer moved(all.proxy->readyText("proxy"));
    TcpPeer otherSide = other.accept();
    moved.send("moved");
    BOOST_TEST(otherSide.receive(5) == "moved");
}

BOOST_AUTO_TEST_SUITE_END()
