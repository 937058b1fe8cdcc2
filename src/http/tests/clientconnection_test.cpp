#include "http/tests/clientfixture.h"

#include <boost/test/unit_test.hpp>
#include <thread>

namespace lagoon::http {

namespace {

using boost::asio::ip::tcp;

const std::string keepAliveResponse = "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=30\r\nContent-Length: 2\r\n\r\nok";

} // namespace

BOOST_FIXTURE_TEST_SUITE(ClientConnections, ClientFixture)

// Prevents a request from waiting without an answer, and its connection from staying open, after the handling of a part
// of the answer threw.
BOOST_AUTO_TEST_CASE(aRequestWhoseHandlingThrowsFailsAtOnce)
{
    for (const ClientStep step : { ClientStep::Send, ClientStep::AwaitHead, ClientStep::ReadBody }) {
        BOOST_TEST_CONTEXT("step " << clientStepText(step))
        {
            const auto answer = std::make_shared<RecordedAnswer>();
            answer->throwsAt = step;
            sendWith(answer, post);
            server.accept();
            server.trySend(keepAliveResponse);
            auto ended = answer->ended.get_future();
            BOOST_TEST_REQUIRE((ended.wait_for(std::chrono::seconds(5)) == std::future_status::ready));
            BOOST_TEST(!ended.get());
            BOOST_TEST(openConnections() == 0U);
        }
    }
}

BOOST_AUTO_TEST_CASE(aConnectionIsReused)
{
    const auto first = send(post);
    server.accept();
    BOOST_TEST(server.request().find("Content-Length: 4") != std::string::npos);
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    const auto second = send(post);
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
    BOOST_TEST(second->body == "ok");
    BOOST_TEST(openConnections() == 1U);
}

// Prevents a late duplicate of an answer from being taken for the answer to another send of the same request.
BOOST_AUTO_TEST_CASE(anExcludedConnectionIsNotReused)
{
    const auto sendOverOther = [this](const std::shared_ptr<ClientConnection>& excluded) {
        auto answer = std::make_shared<RecordedAnswer>();
        std::promise<std::shared_ptr<ClientConnection>> used;
        thread.post([&] {
            const auto now = std::chrono::steady_clock::now();
            const auto connection = pool.take(ConnectionPool::Reuse::Normal, now, { excluded });
            connection->send(post, answer);
            used.set_value(connection);
        });
        return std::make_pair(used.get_future().get(), answer);
    };
    const auto [connection, first] = sendOverOther(nullptr);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    const tcp::socket kept = server.release();
    const auto [other, second] = sendOverOther(connection);
    BOOST_TEST((other != connection));
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
    BOOST_TEST(openConnections() == 2U);
}

BOOST_AUTO_TEST_CASE(aBodyThatIsShorterThanAnnouncedFails)
{
    const auto answer = send(post);
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
    server.close();
    BOOST_TEST(!answer->wait());
    BOOST_TEST(answer->failure.mayHaveArrived);
    BOOST_TEST(clientStepText(answer->failure.step) == "read body");
}

BOOST_AUTO_TEST_CASE(chunksWithoutTheLastOneFail)
{
    const auto answer = send(post);
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n");
    server.close();
    BOOST_TEST(!answer->wait());
}

BOOST_AUTO_TEST_CASE(anAnswerWithoutFramingIsCompleteOnlyAfterAnOrderlyClose)
{
    const auto whole = send(post);
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\n\r\nall");
    server.close();
    BOOST_TEST(whole->wait());
    BOOST_TEST(whole->body == "all");
    const auto truncated = send(post);
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\n\r\npart");
    while (truncated->body.empty())
        std::this_thread::yield();
    server.reset();
    BOOST_TEST(!truncated->wait());
}

// Prevents a caller from receiving the answer to another caller's request: a server answered twice, and the second
// answer was matched to the next request on the connection.
BOOST_AUTO_TEST_CASE(aDuplicateAnswerIsNotMatchedToTheNextRequest)
{
    const auto first = send(post, "1");
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nKeep-Alive: timeout=30\r\nContent-Length: 3\r\n\r\none");
    BOOST_TEST(first->wait());
    const auto second = send(post, "2");
    (void)server.request();
    server.send("HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 3\r\n\r\none");
    server.send("HTTP/1.1 200 OK\r\nX-Id: 2\r\nContent-Length: 3\r\n\r\ntwo");
    BOOST_TEST(second->wait());
    BOOST_TEST(second->body == "two");
}

BOOST_AUTO_TEST_CASE(bytesAfterAnAnswerCloseItsConnection)
{
    const auto first = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse + "surplus");
    BOOST_TEST(first->wait());
    const auto second = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
}

// Prevents a request from being read as a part of the previous one's body: a server refused a long request before it
// had read all of it, and kept the connection open.
BOOST_AUTO_TEST_CASE(anAnswerBeforeTheRequestWasSentClosesItsConnection)
{
    const auto first = send(Request { "POST", "/long", {}, std::string(64 * 1024 * 1024, 'x') });
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    const auto second = send(post);
    server.accept();
    BOOST_TEST(server.request().starts_with("POST /x"));
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
}

BOOST_AUTO_TEST_CASE(aClosedIdleConnectionIsReplaced)
{
    const auto first = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    server.close();
    while (openConnections() > 0)
        std::this_thread::yield();
    const auto second = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
}

// Prevents sending a request on a connection whose close the event loop has not read yet: the request would count as
// one that may have run, which cannot be repeated.
BOOST_AUTO_TEST_CASE(aConnectionWithAnUnreadCloseIsNotReused)
{
    const auto first = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    const auto second = std::make_shared<RecordedAnswer>();
    std::promise<bool> reuses;
    thread.post([&] {
        server.close();
        const auto connection = pool.take(ConnectionPool::Reuse::Normal, std::chrono::steady_clock::now());
        // A new connection has received no answer yet.
        reuses.set_value(connection->keepAliveTimeout().has_value());
        connection->send(post, second);
    });
    BOOST_REQUIRE(!reuses.get_future().get());
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(second->wait());
}

// Prevents a request from running twice: the server executed it and closed the connection without an answer, and the
// client resent it by itself.
BOOST_AUTO_TEST_CASE(aRequestIsNeverResent)
{
    const auto first = send(post);
    server.accept();
    (void)server.request();
    server.send(keepAliveResponse);
    BOOST_TEST(first->wait());
    const auto second = send(post);
    (void)server.request();
    server.close();
    BOOST_TEST(!second->wait());
    BOOST_TEST(second->failure.mayHaveArrived);
    BOOST_TEST(openConnections() == 0U);
}

BOOST_AUTO_TEST_CASE(aRefusedConnectionReportsThatNothingArrived)
{
    const framework::Endpoint closedEndpoint = [] {
        RawServer closedServer;
        return closedServer.endpoint();
    }();
    ConnectionPool other(thread.context(), closedEndpoint, ClientOptions {}, 1);
    auto answer = std::make_shared<RecordedAnswer>();
    thread.post(
        [&] { other.take(ConnectionPool::Reuse::Normal, std::chrono::steady_clock::now())->send(post, answer); });
    BOOST_TEST(!answer->wait());
    BOOST_TEST(!answer->failure.mayHaveArrived);
    BOOST_TEST(clientStepText(answer->failure.step) == "connect");
}

BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    const auto answer = send(post);
    server.accept();
    (void)server.request();
    server.send("HTTP/1.1 100 Continue\r\n\r\n" + keepAliveResponse);
    BOOST_TEST(answer->wait());
    BOOST_TEST(answer->head.status == 200U);
}

// Prevents an answer that a server sends twice from being taken for the answer to the next call, which it doesn't name.
BOOST_AUTO_TEST_CASE(aClientWithOneConnectionPerCallReusesNone)
{
    CallClient orders(thread, server.endpoint(), answerLimits, CallClient::Connections::OnePerCall);
    for (const std::string target : { "/first", "/second" }) {
        std::promise<framework::Result<Response>> answer;
        const auto deadline
            = framework::Deadline::after(std::chrono::steady_clock::now(), framework::Milliseconds(10000));
        orders.call({ "POST", target, {}, {} }, deadline,
            [&](framework::Result<Response> answered) { answer.set_value(std::move(answered)); });
        server.accept();
        BOOST_TEST(server.request().starts_with("POST " + target));
        server.send(keepAliveResponse);
        BOOST_TEST(answer.get_future().get().has_value());
    }
}

// Prevents a router with a slow link from lagging behind with its configuration, by 19 seconds in one case: the store
// sent four large versions in one answer, which took longer than the call's deadline. Each attempt was aborted, and the
// next one started at the first byte.
BOOST_AUTO_TEST_CASE(aLargeAnswerThatMakesProgressIsNotTimedOut)
{
    auto answered = call("/slow");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n");
    for (const std::string piece : { "a", "b", "c", "d", "e" }) {
        server.send(piece);
        std::this_thread::sleep_for(framework::Milliseconds(100));
    }
    const auto answer = answered.get();
    BOOST_REQUIRE(answer.has_value());
    BOOST_TEST(answer.value().body == "abcde");
}

// Prevents an answer from using up the memory: by the length that it announces, in chunks, or until its connection
// ends.
BOOST_AUTO_TEST_CASE(anAnswerBeyondItsLimitFailsItsCall)
{
    const std::string body(answerLimits.bytes + 1, 'x');
    const std::string begin = "HTTP/1.1 200 OK\r\n";
    std::string unframed = begin + "\r\n";
    unframed += body;
    std::string chunked = begin + "Transfer-Encoding: chunked\r\n\r\n3e9\r\n";
    chunked.append(body).append("\r\n");
    for (const std::string& text : { begin + "Content-Length: 900000000000\r\n\r\n", unframed, chunked }) {
        auto answered = call("/large");
        server.send(text);
        const auto answer = answered.get();
        BOOST_REQUIRE(answer.has_error());
        BOOST_TEST((answer.error().code == framework::ErrorCode::TooLarge));
        BOOST_TEST((answer.error().execution == framework::Execution::Unknown));
    }
    auto answered = call("/largest");
    server.send(begin + "Content-Length: 1000\r\n\r\n");
    server.send(std::string(answerLimits.bytes, 'x'));
    BOOST_TEST(answered.get().has_value());
}

// Prevents answers that are within their limits from using up the memory together.
BOOST_AUTO_TEST_CASE(answersThatAreReceivedAtOnceHaveALimitTogether)
{
    const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 1000\r\n\r\n";
    auto first = call("/first");
    server.send(head + std::string(800, 'x'));
    const auto firstConnection = server.release();
    auto second = call("/second");
    server.send(head + std::string(1000, 'x'));
    const auto answer = second.get();
    BOOST_REQUIRE(answer.has_error());
    BOOST_TEST(answer.error().detail == "no memory for the answer beside others");
    BOOST_TEST(first.get().has_error());
    auto third = call("/third");
    server.send(head + std::string(1000, 'x'));
    BOOST_TEST(third.get().has_value());
}

BOOST_AUTO_TEST_CASE(aStalledAnswerTimesOut)
{
    auto answered = call("/stuck");
    server.send("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab");
    const auto answer = answered.get();
    BOOST_REQUIRE(answer.has_error());
    BOOST_TEST(answer.error().detail == "no answer in time");
}

// Prevents losing calls to a server that is available again: a fault can break idle connections without any
// notification, and each call over one of them is lost.
BOOST_AUTO_TEST_CASE(noIdleConnectionIsReusedAfterAFailedCall)
{
    const auto isAnswered = [](std::future<framework::Result<Response>>& answer) { return answer.get().has_value(); };
    auto first = call("/first");
    server.send(keepAliveResponse);
    BOOST_TEST(isAnswered(first));
    auto lost = callWithoutAccept("/lost");
    server.request();
    const auto lostConnection = server.release();
    auto beside = call("/beside");
    server.send(keepAliveResponse);
    BOOST_TEST(isAnswered(beside));
    BOOST_TEST(!isAnswered(lost));
    // `call` accepts a new connection, so the idle one is not reused.
    auto next = call("/next");
    server.send(keepAliveResponse);
    BOOST_TEST(isAnswered(next));
}

// Prevents sending a request that was abandoned while its connection was being established.
BOOST_AUTO_TEST_CASE(aRequestAbandonedOnConnectIsNotSent)
{
    const auto answer = std::make_shared<RecordedAnswer>();
    thread.post([&] {
        const auto connection = pool.take(ConnectionPool::Reuse::Normal, std::chrono::steady_clock::now());
        answer->onWillSend = [connection] { connection->abandon(); };
        connection->send(post, answer);
    });
    server.accept();
    BOOST_CHECK_THROW(server.request(), boost::system::system_error);
    answer->onWillSend = nullptr;
}

// Prevents a server that sends bytes without end from keeping a connection and its memory: in a head, in interim
// answers, in an answer to another request, in a chunk's extension, in trailers, and in the extensions of many chunks.
BOOST_AUTO_TEST_CASE(bytesWithoutEndCloseTheConnection)
{
    const std::string piece(1024 * 1024, 'x');
    const std::string interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    std::string manyInterim;
    while (manyInterim.size() < piece.size())
        manyInterim += interim;
    const std::string chunkedHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    std::string manyExtensions;
    while (manyExtensions.size() < piece.size())
        manyExtensions += "1;a=" + std::string(100, 'x') + "\r\nb\r\n";
    const std::vector<std::pair<std::string, std::string>> floods { { "HTTP/1.1 200 OK\r\nX-Long: ", piece },
        { "", manyInterim }, { "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", piece }, { chunkedHead + "5;a=", piece },
        { chunkedHead + "0\r\nX-Long: ", piece }, { chunkedHead, manyExtensions } };
    for (const auto& [begin, more] : floods) {
        const auto answer = send(post, "1");
        server.accept();
        (void)server.request();
        server.send(begin);
        constexpr int maxPieces = 64;
        int sent = 0;
        while (sent < maxPieces && server.trySend(more))
            ++sent;
        BOOST_TEST(sent < maxPieces);
        server.close();
        BOOST_TEST(!answer->wait());
    }
}

// Prevents an answer whose server closed within its head from being taken for a whole one.
BOOST_AUTO_TEST_CASE(anAnswerThatEndsWithinItsHeadFails)
{
    const std::string line = "HTTP/1.1 200 OK\r\nX-Id: a\r\n";
    for (const std::string& head : { line + "Content-Length: 4\r\n\r\n", line + "Transfer-Encoding: chunked\r\n\r\n",
             line + "Connection: close\r\n\r\n", "HTTP/1.1 100 Continue\r\n\r\n" + line + "\r\n" }) {
        for (std::size_t cut = 0; cut < head.size(); ++cut) {
            const auto answer = send({ "POST", "/p", {}, "body" });
            server.accept();
            server.request();
            server.send(head.substr(0, cut));
            server.close();
            BOOST_TEST(!answer->wait(), head.substr(0, cut));
            BOOST_TEST(answer->head.status == 0u);
            BOOST_TEST(answer->body.empty());
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
