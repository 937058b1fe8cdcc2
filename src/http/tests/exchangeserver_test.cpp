#include "http/tests/exchangefixture.h"

#include <boost/test/unit_test.hpp>
#include <stdexcept>
#include <thread>

namespace lagoon::http {

namespace {

using testing::ExchangeFixture;
using testing::RawCaller;

std::string statusLine(const std::string& answer) { return answer.substr(0, answer.find("\r\n")); }

/// A request that has reached the handler and is not answered.
struct PendingRequest {
    explicit PendingRequest(ExchangeFixture& server)
        : server(server)
        , caller(server.endpoint)
    {
        std::promise<void> taken;
        server.onRequest = [&](const std::shared_ptr<IExchange>& request) {
            exchange = request;
            exchange->setDisconnectHandler([this] { disconnected.set_value(); });
            taken.set_value();
        };
        caller.send(ExchangeFixture::get("/"));
        taken.get_future().wait();
    }
    ~PendingRequest()
    {
        server.onThread([this] { exchange.reset(); });
    }
    PendingRequest(const PendingRequest&) = delete;
    PendingRequest& operator=(const PendingRequest&) = delete;

    ExchangeFixture& server;
    RawCaller caller;
    std::shared_ptr<IExchange> exchange;
    std::promise<void> disconnected;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(ExchangeServers, ExchangeFixture)

BOOST_AUTO_TEST_CASE(aConnectionServesSeveralRequests)
{
    RawCaller caller(endpoint);
    caller.send(get("/one"));
    BOOST_TEST(caller.readUntil("GET /one "));
    caller.send("POST /two HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
    BOOST_TEST(caller.readUntil("POST /two abcde"));
    caller.send(get("/three") + get("/four"));
    BOOST_TEST(caller.readUntil("GET /three "));
    BOOST_TEST(caller.readUntil("GET /four "));
}

BOOST_AUTO_TEST_CASE(aBodyMayArriveInParts)
{
    RawCaller caller(endpoint);
    caller.send("POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 6\r\n\r\nab");
    caller.send("cdef");
    BOOST_TEST(caller.readUntil("POST /x abcdef"));
}

BOOST_AUTO_TEST_CASE(requestsAboveALimitAreRefused)
{
    onThread([&] {
        ExchangeLimits limits;
        limits.headerBytes = 300;
        limits.bodyBytes = 10;
        server.setLimits(limits);
    });
    RawCaller longHeader(endpoint);
    longHeader.send("GET / HTTP/1.1\r\nHost: a\r\nX-Long: " + std::string(400, 'x') + "\r\n\r\n");
    BOOST_TEST(statusLine(longHeader.readToEnd()) == "HTTP/1.1 431 Request Header Fields Too Large");
    RawCaller announced(endpoint);
    announced.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n");
    BOOST_TEST(statusLine(announced.readToEnd()) == "HTTP/1.1 413 Payload Too Large");
    RawCaller chunked(endpoint);
    chunked.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\nabcdefghijk\r\n0\r\n\r\n");
    BOOST_TEST(statusLine(chunked.readToEnd()) == "HTTP/1.1 413 Payload Too Large");
}

// Prevents a caller from using up the memory by a chunk's extension, by trailers or by the extensions of many chunks.
BOOST_AUTO_TEST_CASE(framingWithoutEndIsRefused)
{
    const std::string piece(64 * 1024, 'x');
    std::string manyExtensions;
    while (manyExtensions.size() < piece.size())
        manyExtensions += "1;a=" + std::string(100, 'x') + "\r\nb\r\n";
    const std::vector<std::pair<std::string, std::string>> floods { { "5;a=", piece }, { "0\r\nX-Long: ", piece },
        { "", manyExtensions } };
    for (const auto& [begin, more] : floods) {
        RawCaller caller(endpoint);
        caller.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + begin);
        constexpr int maxPieces = 64;
        for (int sent = 0; sent < maxPieces; ++sent)
            caller.send(more);
        BOOST_TEST(statusLine(caller.readToEnd()) == "HTTP/1.1 431 Request Header Fields Too Large");
    }
}

// Prevents the refusal of a proper body in many chunks for its framing.
BOOST_AUTO_TEST_CASE(aBodyMayHaveManyChunks)
{
    constexpr std::size_t chunks = 50000;
    std::string text = "POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (std::size_t chunk = 0; chunk < chunks; ++chunk)
        text += "1\r\nb\r\n";
    RawCaller caller(endpoint);
    caller.send(text + "0\r\n\r\n");
    BOOST_TEST(caller.readUntil("POST /x " + std::string(chunks, 'b')));
}

// Prevents a request that was sent ahead from running twice, in place of the one that follows it.
BOOST_AUTO_TEST_CASE(requestsThatAreSentAheadAreHandledOnceEach)
{
    std::vector<std::string> handled;
    std::shared_ptr<IExchange> pending;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        handled.push_back(exchange->request().target);
        if (handled.size() == 1)
            pending = exchange;
        else
            exchange->answer(ok(), exchange->request().target);
    };
    RawCaller caller(endpoint);
    caller.send(get("/1"));
    for (bool isPending = false; !isPending;)
        onThread([&] { isPending = pending != nullptr; });
    // The server reads the second request before the first one is answered, and the third one afterwards.
    caller.send(get("/2"));
    std::this_thread::sleep_for(framework::Milliseconds(100));
    onThread([&] { std::exchange(pending, nullptr)->answer(ok(), "/1"); });
    BOOST_TEST(caller.readUntil("/2"));
    caller.send(get("/3") + get("/end"));
    BOOST_TEST(caller.readUntil("/end"));
    onThread([&] { BOOST_TEST((handled == std::vector<std::string> { "/1", "/2", "/3", "/end" })); });
}

BOOST_AUTO_TEST_CASE(slowHeadersAreRefused)
{
    onThread([&] {
        ExchangeLimits limits;
        limits.headerTimeout = framework::Milliseconds(50);
        server.setLimits(limits);
    });
    RawCaller caller(endpoint);
    caller.send("GET / HTTP/1.1\r\nHo");
    BOOST_TEST(statusLine(caller.readToEnd()) == "HTTP/1.1 408 Request Timeout");
}

// Prevents request smuggling: a request carried another one in its body, and because the server behind the router used
// the length and the router the chunks, the hidden request was executed in the caller's name.
BOOST_AUTO_TEST_CASE(ambiguousFramingIsRefused)
{
    for (const std::string framing :
        { "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 4\r\nContent-Length: 5\r\n",
            "Content-Length: 4\r\nContent-Length: 4\r\n", "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
            "Transfer-Encoding: identity, chunked\r\n", "Transfer-Encoding: xchunked\r\n", "Content-Length : 4\r\n" }) {
        RawCaller caller(endpoint);
        caller.send(
            "POST / HTTP/1.1\r\nHost: a\r\n" + framing + "\r\n0\r\n\r\nGET /hidden HTTP/1.1\r\nHost: a\r\n\r\n");
        BOOST_TEST_CONTEXT(framing)
        {
            const std::string& all = caller.readToEnd();
            BOOST_TEST(statusLine(all) == "HTTP/1.1 400 Bad Request");
            BOOST_TEST(all.find("/hidden") == std::string::npos);
        }
    }
}

BOOST_AUTO_TEST_CASE(aCallerThatIsStillSendingReceivesItsRefusal)
{
    onThread([&] {
        ExchangeLimits limits;
        limits.bodyBytes = 10;
        server.setLimits(limits);
    });
    RawCaller caller(endpoint);
    caller.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000000\r\n\r\n");
    caller.send(std::string(500000, 'x'));
    BOOST_TEST(caller.readUntil("413"));
}

// Prevents an abandoned request from occupying a model that others wait for: the caller's end of the connection was
// only checked when there were bytes to write, so the request ran for ten seconds after the disconnect.
BOOST_AUTO_TEST_CASE(aDisconnectIsNoticedWhileTheRequestIsHandled)
{
    PendingRequest pending(*this);
    pending.caller.disconnect();
    pending.disconnected.get_future().wait();
}

// Prevents forwarding a request whose caller disconnected while the event loop was behind.
BOOST_AUTO_TEST_CASE(aDisconnectIsNoticedBeforeTheEventLoopHandlesIt)
{
    std::promise<bool> hasDisconnected;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        hasDisconnected.set_value(exchange->hasCallerDisconnected());
        exchange->answer(ok(), {});
    };
    onThread([&] {
        RawCaller caller(endpoint);
        BOOST_TEST(caller.send(get("/left")));
        caller.disconnect();
    });
    BOOST_TEST(hasDisconnected.get_future().get());
}

BOOST_AUTO_TEST_CASE(aWaitingCallerHasNotDisconnected)
{
    std::promise<bool> hasDisconnected;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        hasDisconnected.set_value(exchange->hasCallerDisconnected());
        exchange->answer(ok(), {});
    };
    RawCaller caller(endpoint);
    BOOST_TEST(caller.send(get("/waits")));
    BOOST_TEST(!hasDisconnected.get_future().get());
}

// Prevents a request from being left without an answer if its handling fails half-way: the handler still had it.
BOOST_AUTO_TEST_CASE(aRequestWhoseHandlerThrowsIsAnswered)
{
    std::shared_ptr<IExchange> kept;
    std::promise<void> notified;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        kept = exchange;
        exchange->setDisconnectHandler([&] { notified.set_value(); });
        throw 1;
    };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(statusLine(caller.readToEnd()) == "HTTP/1.1 500 Internal Server Error");
    notified.get_future().wait();
    onThread([&] { kept.reset(); });
}

// Prevents a stream from hanging if its handling fails half-way.
BOOST_AUTO_TEST_CASE(aStreamWhoseHandlerThrowsIsBrokenOff)
{
    std::shared_ptr<IExchange> kept;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        kept = exchange;
        exchange->setDrainedHandler([] { throw std::runtime_error("no further piece"); });
        exchange->beginAnswer(ok());
        exchange->sendPiece("half");
    };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    const std::string all = caller.readToEnd();
    BOOST_TEST(all.find("half") != std::string::npos);
    BOOST_TEST(all.find("0\r\n\r\n") == std::string::npos);
    onThread([&] { kept.reset(); });
}

BOOST_AUTO_TEST_CASE(aStreamIsSentPieceByPieceAndEndsWithItsLastChunk)
{
    std::shared_ptr<IExchange> pending;
    beginStreams(pending);
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(caller.readUntil("5\r\nfirst\r\n"));
    onThread([&] {
        pending->sendPiece("second");
        pending->endAnswer();
    });
    BOOST_TEST(caller.readUntil("6\r\nsecond\r\n0\r\n\r\n"));
}

// Prevents a caller from mistaking a truncated answer for a complete one after its server has crashed.
BOOST_AUTO_TEST_CASE(aBrokenOffStreamDoesNotLookComplete)
{
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        exchange->beginAnswer(ok());
        exchange->sendPiece("half");
        exchange->breakOff();
    };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    const std::string all = caller.readToEnd();
    BOOST_TEST(all.find("half") != std::string::npos);
    BOOST_TEST(all.find("0\r\n\r\n") == std::string::npos);
}

// Prevents a caller from receiving neither an answer nor a refusal: the request's handler failed and dropped it, and
// the connection was closed.
BOOST_AUTO_TEST_CASE(aDroppedExchangeIsAnsweredWith500)
{
    onRequest = [](const std::shared_ptr<IExchange>&) {};
    RawCaller caller(endpoint);
    caller.send(get("/"));
    const std::string all = caller.readToEnd();
    BOOST_TEST(statusLine(all) == "HTTP/1.1 500 Internal Server Error");
    BOOST_TEST(all.find("Content-Length: 0\r\n") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(anExchangeWhoseHandlerThrowsIsAnsweredWith500)
{
    onRequest = [](const std::shared_ptr<IExchange>&) { throw std::runtime_error("handler"); };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(statusLine(caller.readToEnd()) == "HTTP/1.1 500 Internal Server Error");
    onRequest = [](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), "next"); };
    RawCaller next(endpoint);
    next.send(get("/"));
    BOOST_TEST(next.readUntil("next"));
}

BOOST_AUTO_TEST_CASE(anExchangeDroppedDuringItsAnswerClosesItsConnection)
{
    onRequest = [](const std::shared_ptr<IExchange>& exchange) {
        exchange->beginAnswer(ok());
        exchange->sendPiece("half");
    };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    const std::string all = caller.readToEnd();
    BOOST_TEST(all.find("half") != std::string::npos);
    BOOST_TEST(all.find("0\r\n\r\n") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(answersCloseTheirConnectionsWhileDraining)
{
    onThread([&] { server.beginDraining(); });
    RawCaller caller(endpoint);
    caller.send(get("/one"));
    const std::string all = caller.readToEnd();
    BOOST_TEST(all.find("GET /one ") != std::string::npos);
    BOOST_TEST(all.find("Connection: close") != std::string::npos);
}

// Prevents a truncated answer at shutdown: a router finished a stream on a keep-alive connection and accepted the next
// request on it four seconds into its shutdown, which was aborted when the grace period ended.
BOOST_AUTO_TEST_CASE(aStreamStartedBeforeDrainingClosesItsConnection)
{
    std::shared_ptr<IExchange> pending;
    beginStreams(pending);
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(caller.readUntil("first"));
    onThread([&] {
        server.beginDraining();
        server.closeIdle();
        pending->endAnswer();
    });
    BOOST_TEST(caller.readToEnd().ends_with("0\r\n\r\n"));
}

// Prevents losing a request at shutdown: a caller sent its next request as soon as the previous answer had arrived, and
// the router had read it when it closed the connection. The request was neither answered nor safe to retry elsewhere.
BOOST_AUTO_TEST_CASE(aReceivedRequestIsAnsweredBeforeItsConnectionCloses)
{
    std::shared_ptr<IExchange> pending;
    beginStreams(pending);
    RawCaller caller(endpoint);
    caller.send(get("/") + get("/next"));
    BOOST_TEST(caller.readUntil("first"));
    onThread([&] {
        server.beginDraining();
        server.closeIdle();
        onRequest
            = [](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), exchange->request().target); };
        pending->endAnswer();
        server.closeIdle();
    });
    const std::string all = caller.readToEnd();
    BOOST_TEST(all.find("0\r\n\r\n") != std::string::npos);
    BOOST_TEST(all.ends_with("/next"));
    BOOST_TEST(all.find("Connection: close") != std::string::npos);
}

// Prevents handlers from continuing with requests that can no longer be answered: when the server closes all
// connections, it notifies the handlers of requests in progress.
BOOST_AUTO_TEST_CASE(closeAllAlsoClosesBusyConnections)
{
    PendingRequest pending(*this);
    onThread([&] { server.closeAll(); });
    pending.disconnected.get_future().wait();
    BOOST_TEST(pending.caller.readToEnd().empty());
    onThread([&] { BOOST_TEST(server.connections() == 0u); });
}

// Prevents truncating a long answer over a slow link: the router had passed all of it to the connection, considered the
// connection idle from then on, and closed it at the idle timeout.
BOOST_AUTO_TEST_CASE(aConnectionWithUnsentBytesIsNotIdle)
{
    const std::string report(32 * 1024 * 1024, 'x');
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), report); };
    onThread([&] {
        ExchangeLimits limits;
        limits.idleTimeout = framework::Milliseconds(50);
        server.setLimits(limits);
    });
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(caller.readUntil("xxxx"));
    framework::EventThread clock;
    std::promise<void> passed;
    const auto timer
        = clock.runAt(framework::Deadline::after(std::chrono::steady_clock::now(), framework::Milliseconds(300)),
            [&] { passed.set_value(); });
    passed.get_future().wait();
    BOOST_TEST(caller.readToEnd().size() > report.size());
}

// Prevents a client without support for chunks from mistaking a truncated stream for a complete one: when the router's
// grace period ended, the connection was closed normally, which such a client takes as the end of the answer.
BOOST_AUTO_TEST_CASE(aTruncatedStreamWithoutChunksDoesNotLookComplete)
{
    std::shared_ptr<IExchange> pending;
    beginStreams(pending);
    RawCaller caller(endpoint);
    caller.send("GET / HTTP/1.0\r\n\r\n");
    BOOST_TEST(caller.readUntil("first"));
    onThread([&] { server.closeAll(); });
    caller.readToEnd();
    BOOST_TEST(caller.wasReset());
    onThread([&] { pending.reset(); });
}

// Prevents losing a request when idle connections are closed: a router with little CPU time had received a complete
// request but not processed it, and closed its connection as idle.
BOOST_AUTO_TEST_CASE(aConnectionWithAnUnreadRequestIsNotIdle)
{
    RawCaller caller(endpoint);
    caller.send(get("/one"));
    BOOST_TEST(caller.readUntil("GET /one "));
    std::promise<void> isBlocked;
    std::promise<void> unblock;
    thread.post([&] {
        isBlocked.set_value();
        unblock.get_future().wait();
    });
    isBlocked.get_future().wait();
    thread.post([&] {
        server.beginDraining();
        server.closeIdle();
    });
    caller.send(get("/two"));
    unblock.set_value();
    BOOST_TEST(caller.readToEnd().find("GET /two ") != std::string::npos);
}

// Prevents losing a request in the listening socket's queue when a busy process stops accepting.
BOOST_AUTO_TEST_CASE(aRequestInTheAcceptQueueIsAnswered)
{
    std::optional<RawCaller> caller;
    onThread([&] {
        caller.emplace(endpoint);
        BOOST_TEST(caller->send(get("/queued")));
        server.beginDraining();
        server.closeIdle();
    });
    BOOST_TEST(caller->readUntil("GET /queued"));
}

// Prevents resetting a request that follows its connection by a network delay.
BOOST_AUTO_TEST_CASE(aNewConnectionStaysOpenForItsFirstRequest)
{
    RawCaller caller(endpoint);
    onThread([&] {
        server.beginDraining();
        server.closeIdle();
    });
    onThread([&] { BOOST_TEST(server.busyConnections() == 1U); });
    BOOST_TEST(caller.send(get("/first")));
    BOOST_TEST(caller.readToEnd().find("GET /first") != std::string::npos);
}

// Prevents truncated answers at shutdown: a router exited as soon as no request was in progress, while callers were
// still receiving its last answers.
BOOST_AUTO_TEST_CASE(aConnectionIsBusyUntilItsAnswerIsSent)
{
    const std::string report(32 * 1024 * 1024, 'x');
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), report); };
    RawCaller staying(endpoint);
    staying.send(get("/"));
    BOOST_TEST(staying.readUntil("xxxx"));
    onThread([&] { BOOST_TEST(server.busyConnections() == 1u); });
    onThread([&] { server.closeIdle(); });
    BOOST_TEST(staying.readUntil(report));
}

// Prevents truncating the answer to a caller that is reachable but paused for some seconds.
BOOST_AUTO_TEST_CASE(aPausedCallerReceivesItsWholeAnswer)
{
    const std::string report(32 * 1024 * 1024, 'x');
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), report); };
    RawCaller caller(endpoint);
    caller.send(get("/"));
    BOOST_TEST(caller.readUntil("xxxx"));
    std::this_thread::sleep_for(std::chrono::seconds(12));
    onThread([&] { server.closeIdle(); });
    BOOST_TEST(caller.readToEnd().size() > report.size());
}

BOOST_AUTO_TEST_CASE(closeIdleLetsBusyConnectionsFinish)
{
    std::promise<void> taken;
    std::shared_ptr<IExchange> pending;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        pending = exchange;
        taken.set_value();
    };
    RawCaller idle(endpoint);
    RawCaller busy(endpoint);
    busy.send(get("/"));
    taken.get_future().wait();
    onThread([&] {
        server.beginDraining();
        server.closeIdle();
    });
    BOOST_TEST(idle.readToEnd().empty());
    onThread([&] { pending->answer(ok(), "done"); });
    BOOST_TEST(busy.readToEnd().find("done") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
