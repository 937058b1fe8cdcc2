#include "support/httpcall.h"
#include "support/programs.h"
#include "support/tcppeer.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;
using lagoon::framework::Milliseconds;

namespace {

/// A server, the proxy in front of it, and one connection through the proxy.
struct ProxyFixture {
    explicit ProxyFixture(const std::vector<std::string>& arguments = {})
        : proxy(startProgram(Program::FaultProxy, "proxy", withTarget(arguments), folder))
        , client(proxy->readyText("proxy"))
        , serverSide(server.accept())
    {
    }

    std::vector<std::string> withTarget(std::vector<std::string> arguments) const
    {
        arguments.insert(arguments.end(), { "--to", server.endpoint() });
        return arguments;
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

BOOST_AUTO_TEST_CASE(forwardsBytesBothWaysAndTheServersEnd)
{
    ProxyFixture fixture;
    fixture.client.send("question");
    BOOST_TEST(fixture.serverSide.receive(8) == "question");
    fixture.serverSide.send("answer");
    BOOST_TEST(fixture.client.receive(6) == "answer");
    fixture.serverSide.close();
    BOOST_TEST(fixture.client.reachesEnd());
}

BOOST_AUTO_TEST_CASE(delaysOneDirection)
{
    ProxyFixture fixture;
    fixture.set(R"({"delay_ms": {"to_client": 200}})");
    const auto before = std::chrono::steady_clock::now();
    fixture.serverSide.send("late");
    BOOST_TEST(fixture.client.receive(4) == "late");
    BOOST_TEST((std::chrono::steady_clock::now() - before >= Milliseconds(200)));
    fixture.set(R"({"delay_ms": {"to_server": 600000}})");
    fixture.serverSide.send("soon");
    BOOST_TEST(fixture.client.receive(4) == "soon");
}

BOOST_AUTO_TEST_CASE(cutsOnlyExistingConnections)
{
    ProxyFixture fixture;
    fixture.set(R"({"cut": true})");
    BOOST_TEST(fixture.client.reachesEnd());
    BOOST_TEST(fixture.serverSide.reachesEnd());
    fixture.checkNewConnectionWorks();
}

// A firewall or NAT between two hosts drops a connection from its state table: neither end is notified, the bytes that
// they send are lost, and neither sees the other close the connection. New connections between the hosts work.
BOOST_AUTO_TEST_CASE(blackholesExistingConnectionsPermanently)
{
    ProxyFixture fixture;
    fixture.set(R"({"silent": "both"})");
    fixture.client.send("lost question");
    fixture.serverSide.send("lost answer");
    waitFor("the bytes of both directions are discarded", [&] {
        return fixture.number("to_server", "swallowed_bytes") == 13
            && fixture.number("to_client", "swallowed_bytes") == 11;
    });
    BOOST_TEST(!fixture.client.hasInput());
    fixture.checkNewConnectionWorks();
    fixture.client.close();
    fixture.checkNewConnectionWorks();
    BOOST_TEST(!fixture.serverSide.hasInput());
}

BOOST_AUTO_TEST_CASE(blackholesOneDirection)
{
    ProxyFixture fixture;
    fixture.set(R"({"silent": "to_client"})");
    fixture.serverSide.send("lost");
    fixture.client.send("heard");
    BOOST_TEST(fixture.serverSide.receive(5) == "heard");
    waitFor("the answer is discarded", [&] { return fixture.number("to_client", "swallowed_bytes") == 4; });
    BOOST_TEST(!fixture.client.hasInput());
}

// A request is delayed in a buffer of the network. The client gives up and closes the connection, and then the request
// arrives.
BOOST_AUTO_TEST_CASE(deliversHeldBytesAfterTheClientClosed)
{
    ProxyFixture fixture;
    fixture.set(R"({"hold": "to_server"})");
    fixture.client.send("late request");
    waitFor("the request is held back", [&] { return fixture.number("to_server", "held_bytes") == 12; });
    fixture.client.close();
    BOOST_TEST(!fixture.serverSide.hasInput());
    fixture.set(R"({"release": true})");
    BOOST_TEST(fixture.serverSide.receive(12) == "late request");
    BOOST_TEST(fixture.serverSide.reachesEnd());
}

BOOST_AUTO_TEST_CASE(swapsTwoFrames)
{
    ProxyFixture fixture({ "--frames" });
    fixture.set(R"({"swap": {"to_client": 1}})");
    const std::string first = frameOf("first");
    const std::string second = frameOf("the second");
    const std::string third = frameOf("third");
    fixture.serverSide.send(first + second.substr(0, 6));
    fixture.serverSide.send(second.substr(6) + third);
    const std::string expected = second + first + third;
    BOOST_TEST(fixture.client.receive(expected.size()) == expected);
}

// The server executes the request and answers, but the connection is closed before the answer arrives.
BOOST_AUTO_TEST_CASE(losesAnAnswerAfterTheRequestWasDelivered)
{
    ProxyFixture fixture;
    fixture.set(R"({"lose_answer": {"count": 1}})");
    fixture.client.send("request");
    BOOST_TEST(fixture.serverSide.receive(7) == "request");
    fixture.serverSide.send("answer");
    BOOST_TEST(fixture.client.reachesEnd());
    BOOST_TEST(fixture.serverSide.reachesEnd());
    fixture.checkNewConnectionWorks();
}

BOOST_AUTO_TEST_CASE(truncatesAnAnswer)
{
    ProxyFixture fixture;
    fixture.set(R"({"lose_answer": {"count": 1, "after_bytes": 4}})");
    fixture.serverSide.send("answer");
    BOOST_TEST(fixture.client.receive(6) == "answ");
}

BOOST_AUTO_TEST_CASE(refusesNewConnectionsOrForwardsThemToAnotherTarget)
{
    ProxyFixture fixture;
    fixture.set(R"({"refuse": true})");
    TcpPeer refused(fixture.proxy->readyText("proxy"));
    BOOST_TEST(refused.reachesEnd());
    TcpServer other;
    fixture.set(R"({"refuse": false, "to": ")" + other.endpoint() + "\"}");
    TcpPeer moved(fixture.proxy->readyText("proxy"));
    TcpPeer otherSide = other.accept();
    moved.send("moved");
    BOOST_TEST(otherSide.receive(5) == "moved");
}

BOOST_AUTO_TEST_SUITE_END()
