#include "http/internal/recentprogress.h"
#include "http/tests/exchangefixture.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace lagoon::http {

using testing::ExchangeFixture;
using testing::RawCaller;

namespace {

/// Callers that read nothing of a large answer each. Their answers together use up the memory for unread ones.
struct UnreadLargeAnswers : ExchangeFixture {
    UnreadLargeAnswers()
    {
        onRequest = [this](const std::shared_ptr<IExchange>& exchange) { exchange->answer(ok(), large); };
        onThread([this] {
            const std::size_t memory = (callers + 1) * large.size();
            auto budget = std::make_shared<ByteBudget>(ByteBudget::Limits { memory, memory, memory, memory });
            server.setBudget(budget, ResponseHead { 503, {}, {} });
            server.reclaimUnreadAnswers(*budget);
            server.setDropHandler([this](const DroppedAnswers&) { ++dropped; });
        });
    }

    void leaveAnswersUnread()
    {
        for (std::size_t caller = 0; caller < callers; ++caller) {
            unread.push_back(std::make_unique<RawCaller>(endpoint));
            unread.back()->send(get("/"));
            BOOST_TEST(unread.back()->readUntil("200 OK"));
        }
        // Until then, they could be as fast as any.
        std::this_thread::sleep_for(2 * RecentProgress::window);
    }

    static constexpr std::size_t callers = 3;
    const std::string large = std::string(16 * 1024 * 1024, 'x');
    int dropped = 0;
    std::vector<std::unique_ptr<RawCaller>> unread;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(UnreadAnswers, ExchangeFixture)

// Prevents a caller that sends requests ahead and reads no answer from using up the memory by the answers.
BOOST_AUTO_TEST_CASE(requestsThatAreSentAheadWaitForUnreadAnswers)
{
    constexpr std::size_t requests = 1000;
    constexpr std::size_t maxWaiting = 256 * 1024;
    const std::string body(64 * 1024, 'x');
    auto budget = std::make_shared<ByteBudget>(ByteBudget::Limits { 1 << 30, 1 << 30, 1 << 30, 1 << 30 });
    onThread([&] { server.setBudget(budget, ResponseHead { 503, {}, {} }); });
    std::size_t mostUnsent = 0;
    std::size_t mostUncounted = 0;
    std::vector<std::string> handled;
    std::vector<std::string> sent;
    std::string ahead;
    for (std::size_t request = 0; request < requests; ++request) {
        sent.push_back("/" + std::to_string(request));
        ahead += get(sent.back());
    }
    sent.emplace_back("/last");
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        handled.push_back(exchange->request().target);
        mostUnsent = std::max(mostUnsent, exchange->unsentBytes());
        mostUncounted
            = std::max(mostUncounted, exchange->unsentBytes() - std::min(exchange->unsentBytes(), budget->used()));
        exchange->answer(ok(), body);
    };
    RawCaller caller(endpoint);
    caller.send(ahead + "GET /last HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    BOOST_TEST(caller.readToEnd().size() > (requests + 1) * body.size());
    onThread([&] {
        BOOST_TEST(mostUnsent < maxWaiting);
        BOOST_TEST(mostUncounted == 0u);
        BOOST_TEST((handled == sent));
        BOOST_TEST(budget->used() == 0u);
    });
}

// Prevents the loss of requests that wait behind unread answers when the server stops.
BOOST_AUTO_TEST_CASE(aRequestBehindUnreadAnswersIsAnsweredWhileDraining)
{
    const std::string body(32 * 1024 * 1024, 'x');
    int handled = 0;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        ++handled;
        exchange->answer(ok(), exchange->request().target == "/1" ? body : "second");
    };
    RawCaller caller(endpoint);
    caller.send(get("/1") + get("/2"));
    BOOST_TEST(caller.readUntil("xxxx"));
    onThread([&] {
        BOOST_TEST(handled == 1);
        server.beginDraining();
        server.closeIdle();
        BOOST_TEST(server.busyConnections() == 1u);
    });
    const std::string& answers = caller.readToEnd();
    BOOST_TEST(answers.size() > body.size());
    BOOST_TEST(answers.ends_with("second"));
    BOOST_TEST(answers.find("Connection: close") != std::string::npos);
}

// Prevents a caller that leaves an answer unread from keeping idle connections of others open above the limit.
BOOST_AUTO_TEST_CASE(aConnectionWithUnreadAnswersIsNotTheLongestIdle)
{
    const std::string body(32 * 1024 * 1024, 'x');
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        exchange->answer(ok(), exchange->request().target == "/large" ? body : "small");
    };
    RawCaller slow(endpoint);
    slow.send(get("/large"));
    BOOST_TEST(slow.readUntil("xxxx"));
    RawCaller idle(endpoint);
    idle.send(get("/"));
    BOOST_TEST(idle.readUntil("small"));
    // Both are old enough to be closed.
    std::this_thread::sleep_for(framework::Milliseconds(1500));
    onThread([&] { server.setMaxConnections(2); });
    RawCaller next(endpoint);
    next.send(get("/"));
    BOOST_TEST(next.readUntil("small"));
    std::size_t connections = 0;
    for (int attempt = 0; attempt < 100 && connections != 2; ++attempt) {
        onThread([&] { connections = server.connections(); });
        std::this_thread::sleep_for(framework::Milliseconds(10));
    }
    BOOST_TEST(connections == 2u);
    onThread([&] { server.beginDraining(); });
    slow.send(get("/"));
    BOOST_TEST(slow.readToEnd().size() > body.size());
}

// Prevents the close of a connection for which an idle one has just made room.
BOOST_AUTO_TEST_CASE(aNewConnectionStaysWhenAnIdleOneMakesRoom)
{
    std::vector<std::unique_ptr<RawCaller>> idle;
    for (int caller = 0; caller < 2; ++caller) {
        idle.push_back(std::make_unique<RawCaller>(endpoint));
        idle.back()->send(get("/"));
        BOOST_TEST(idle.back()->readUntil("GET /"));
    }
    // Both are old enough to be closed.
    std::this_thread::sleep_for(framework::Milliseconds(1500));
    onThread([&] { server.setMaxConnections(2); });
    RawCaller next(endpoint);
    BOOST_TEST(idle.front()->readToEnd().ends_with("GET / "));
    next.send(get("/next"));
    BOOST_TEST(next.readUntil("GET /next"));
    idle.back()->clearReceived();
    idle.back()->send(get("/again"));
    BOOST_TEST(idle.back()->readUntil("GET /again"));
}

// Prevents one answer that lacks some memory from ending the connections of all callers that read slowly.
BOOST_FIXTURE_TEST_CASE(onlyAsManyAnswersAreDroppedAsMemoryIsNeeded, UnreadLargeAnswers)
{
    leaveAnswersUnread();
    RawCaller next(endpoint);
    next.send(get("/"));
    BOOST_TEST(next.readUntil("200 OK"));
    onThread([this] { BOOST_TEST(dropped == 1); });
}

// Prevents a handler from being told of a disconnect while it answers another request, or not at all.
BOOST_FIXTURE_TEST_CASE(aStreamThatNobodyReadsMakesRoom, UnreadLargeAnswers)
{
    bool isDisconnected = false;
    std::shared_ptr<IExchange> stream;
    onRequest = [&](const std::shared_ptr<IExchange>& exchange) {
        if (!stream) {
            stream = exchange;
            stream->setDisconnectHandler([&] { isDisconnected = true; });
            stream->beginAnswer(ok());
            return stream->sendPiece(large + large + large);
        }
        exchange->answer(ok(), large + large);
        BOOST_TEST(dropped == 1);
        BOOST_TEST(!isDisconnected);
        stream->sendPiece("more");
    };
    RawCaller slow(endpoint);
    slow.send(get("/stream"));
    BOOST_TEST(slow.readUntil("200 OK"));
    std::this_thread::sleep_for(2 * RecentProgress::window);
    RawCaller next(endpoint);
    next.send(get("/"));
    BOOST_TEST(next.readUntil("200 OK"));
    onThread([&] {
        BOOST_TEST(isDisconnected);
        BOOST_TEST(stream->unsentBytes() == 0U);
        stream.reset();
    });
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::http
