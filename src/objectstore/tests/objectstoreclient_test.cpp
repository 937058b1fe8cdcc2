#include "objectstore/objectstoreclient.h"

#include "framework/iclock.h"
#include "http/testing/brokenanswers.h"
#include "http/testing/rawserver.h"
#include "objectstore/objectread.h"
#include "objectstore/objectupdate.h"
#include "objectstore/tests/testserver.h"

#include <boost/test/unit_test.hpp>
#include <future>

using namespace lagoon;
using namespace lagoon::objectstore;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::ObjectVersion;

namespace {

const ObjectKey key("replicas/ikeja/policy");

framework::Deadline testDeadline(int milliseconds = 10000)
{
    return framework::Deadline::after(framework::SystemClock().now(), Milliseconds(milliseconds));
}

ServerAnswer withVersion(unsigned version, const std::string& body = "")
{
    return { .headers = { { "ETag", "\"" + std::to_string(version) + "\"" } }, .body = body };
}

ServerAnswer withStatus(unsigned status) { return { .status = status, .headers = {}, .body = {} }; }

/// A client with a server that answers its calls through the given handler.
struct ClientFixture {
    explicit ClientFixture(TestServer::Handler handler, ObjectStoreSettings settings = {})
        : server(std::move(handler))
    {
        settings.url = server.url();
        client = makeObjectStoreClient(settings, metrics);
    }
    bool hasCount(const std::string& call, const std::string& result, unsigned times = 1) const
    {
        const std::string line = "lagoon_platform_calls_total{call=\"" + call + "\",result=\"" + result + "\"} "
            + std::to_string(times) + "\n";
        return metrics->text().find(line) != std::string::npos;
    }

    TestServer server;
    std::shared_ptr<framework::Metrics> metrics = std::make_shared<framework::Metrics>();
    ObjectStoreClient client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(PlatformClients)

BOOST_AUTO_TEST_CASE(getsAndPutsByVersion)
{
    ClientFixture fixture(
        [](const ReceivedRequest& request) { return withVersion(request.method == "GET" ? 4 : 5, "value"); });
    const auto object = fixture.client.store->get(key, testDeadline());
    BOOST_REQUIRE(object.has_value());
    BOOST_TEST(object.value()->value == "value");
    BOOST_TEST(object.value()->version.value() == 4U);
    BOOST_TEST(fixture.client.store->put(key, "new", ObjectVersion(4), testDeadline()).value().value() == 5U);
    BOOST_TEST(fixture.client.store->put(key, "new", ObjectVersion(), testDeadline()).has_value());
    BOOST_TEST(fixture.client.store->remove(key, ObjectVersion(5), testDeadline()).has_value());
    auto receivedRequests = fixture.server.receivedRequests();
    BOOST_TEST(receivedRequests[0].target == "/v1/objects/replicas/ikeja/policy");
    BOOST_TEST(receivedRequests[1].headers["if-match"] == "\"4\"");
    BOOST_TEST(receivedRequests[1].body == "new");
    BOOST_TEST(receivedRequests[2].headers["if-none-match"] == "*");
    BOOST_TEST(receivedRequests[3].method == "DELETE");
    BOOST_TEST(fixture.hasCount("put", "ok", 2));
}

BOOST_AUTO_TEST_CASE(statusCodesMapToErrorsAndExecution)
{
    unsigned status = 404;
    ClientFixture fixture([&](const ReceivedRequest&) { return withStatus(status); });
    IObjectStore& store = *fixture.client.store;
    const auto putError = [&](unsigned answered) {
        status = answered;
        return store.put(key, "x", ObjectVersion(1), testDeadline()).error();
    };
    BOOST_TEST(!store.get(key, testDeadline()).value().has_value());
    BOOST_TEST((store.watch(key, ObjectVersion(3), testDeadline()).error().code == ErrorCode::NotFound));
    BOOST_TEST(store.remove(key, ObjectVersion(3), testDeadline()).has_value());
    BOOST_TEST((putError(412).code == ErrorCode::PlatformConflict));
    BOOST_TEST((putError(413).code == ErrorCode::TooLarge));
    BOOST_TEST((putError(503).execution == Execution::NotRun));
    BOOST_TEST((putError(500).execution == Execution::Unknown));
    // With status 200 but no version, the write took effect under an unknown version.
    BOOST_TEST((putError(200).execution == Execution::Unknown));
    status = 304;
    BOOST_TEST(!store.watch(key, ObjectVersion(3), testDeadline()).value().has_value());
}

BOOST_AUTO_TEST_CASE(keysThatWouldChangeThePathAreNotSent)
{
    ClientFixture fixture([](const ReceivedRequest&) { return withVersion(1); });
    for (const char* invalidKey : { "", "/a", "a/", "a//b", "a/../b", "a?b", "a b", "a%2fb", "a#b" })
        BOOST_TEST(fixture.client.store->get(ObjectKey(invalidKey), testDeadline()).has_error(), invalidKey);
    BOOST_TEST(fixture.server.receivedRequests().empty());
}

BOOST_AUTO_TEST_CASE(aListIsParsedAndAMalformedOneIsRefused)
{
    std::string body = R"({"objects":[{"key":"a/b","version":3}]})";
    ClientFixture fixture([&](const ReceivedRequest&) { return ServerAnswer { .headers = {}, .body = body }; });
    BOOST_TEST(fixture.client.store->list("a/", testDeadline()).value().at(0).version.value() == 3U);
    BOOST_TEST(fixture.server.receivedRequests()[0].target == "/v1/objects?prefix=a/");
    body = R"({"objects":[{"key":"a/b","version":"3"}]})";
    BOOST_TEST((fixture.client.store->list("a/", testDeadline()).error().code == ErrorCode::BadObject));
}

// Prevents one odd entry from ending the updates of the whole list, and from being taken for a VM.
BOOST_AUTO_TEST_CASE(theVmListIsParsedWithoutEntriesThatCanNotBeRead)
{
    std::string state = R"("leaving")";
    ClientFixture fixture([&](const ReceivedRequest&) {
        return ServerAnswer { .headers = {},
            .body = R"({"version":9,"vms":[{"vm":"u-1","role":"upstream","state":)" + state
                + R"(,"site":"ikeja","failure_domain":"a","pool":"p","endpoint":"127.0.0.1:1"},)"
                + R"({"vm":"r-1","role":"router","state":"live","site":"ikeja","failure_domain":"a",)"
                + R"("endpoint":"127.0.0.1:2"}]})" };
    });
    const auto snapshot = fixture.client.vmList->waitForChange(0, testDeadline());
    BOOST_REQUIRE(snapshot.has_value());
    BOOST_TEST(snapshot.value().version == 9U);
    BOOST_TEST((snapshot.value().vms.at(0).state == VmState::Leaving));
    BOOST_TEST((snapshot.value().vms.at(1).role == VmRole::Router));
    const std::string deep = std::string(200000, '[') + std::string(200000, ']');
    for (const std::string& odd : { std::string(R"("resting")"), std::string("1e999"), std::string("{}"), deep }) {
        state = odd;
        const auto others = fixture.client.vmList->waitForChange(9, testDeadline());
        BOOST_REQUIRE(others.has_value());
        BOOST_REQUIRE(others.value().vms.size() == 1U);
        BOOST_TEST(others.value().vms.front().vm.value() == "r-1");
    }
}

BOOST_AUTO_TEST_CASE(anAnswerThatIsNoVmListIsRefused)
{
    std::string body;
    ClientFixture fixture([&](const ReceivedRequest&) { return ServerAnswer { .headers = {}, .body = body }; });
    for (const char* const text : { "", "7", "{}", R"({"version":9,"vms":{}})", R"({"version":"9","vms":[]})",
             R"({"version":9,"vms":[],"more":1})", R"({"version":9,"vms":[)" }) {
        body = text;
        BOOST_TEST(fixture.client.vmList->waitForChange(0, testDeadline()).has_error(), text);
    }
}

// Prevents an answer that breaks HTTP/1.1 from being taken for an object, or for a write that took effect.
BOOST_AUTO_TEST_CASE(aBrokenAnswerIsNoAnswer)
{
    http::testing::RawServer server;
    const ObjectStoreSettings settings {
        .url = "http://" + server.endpoint().value(), .callsPerSecond = 1000, .callBurst = 1000
    };
    const auto client = makeObjectStoreClient(settings, std::make_shared<framework::Metrics>());
    const auto answerWith = [&](const http::testing::BrokenAnswer& answer) {
        server.accept();
        (void)server.request();
        server.trySend(answer.text("ETag: \"1\"\r\n"));
        server.close();
    };
    std::vector<http::testing::BrokenAnswer> answers = http::testing::withBrokenHead();
    for (const auto& answer : http::testing::withBrokenChunks())
        answers.push_back(answer);
    for (const auto& answer : answers) {
        auto read = std::async(std::launch::async, [&] { return client.store->get(key, testDeadline()); });
        answerWith(answer);
        BOOST_TEST(read.get().has_error(), answer.text());
        auto write = std::async(
            std::launch::async, [&] { return client.store->put(key, "x", ObjectVersion(1), testDeadline()); });
        answerWith(answer);
        const auto written = write.get();
        BOOST_TEST(written.has_error(), answer.text());
        BOOST_TEST((written.has_value() || written.error().execution == Execution::Unknown));
    }
}

// Prevents requests from waiting while the platform is up: a silently broken connection to it must not make the calls
// on it wait forever.
BOOST_AUTO_TEST_CASE(aSilentConnectionEndsTheCallInTimeAndTheNextOneWorks)
{
    ClientFixture fixture(
        [](const ReceivedRequest& request) {
            ServerAnswer answer = withVersion(1, "value");
            if (request.connection == 1)
                answer.kind = ServerAnswer::Kind::StaySilent;
            return answer;
        },
        { .url = {}, .callTimeout = Milliseconds(50) });
    const auto lost = fixture.client.store->put(key, "x", ObjectVersion(1), testDeadline());
    BOOST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().code == ErrorCode::PlatformUnavailable));
    BOOST_TEST((lost.error().execution == Execution::Unknown));
    BOOST_TEST(lost.error().detail == "no answer in time");
    BOOST_TEST(fixture.hasCount("put", "timeout"));
    BOOST_TEST(readObject(*fixture.client.store, key, testDeadline()).value()->value == "value");
    BOOST_TEST(fixture.server.receivedRequests().back().connection > 1U);
}

BOOST_AUTO_TEST_CASE(aStopRequestEndsAWatch)
{
    std::promise<void> requestReceived;
    ClientFixture fixture([&](const ReceivedRequest&) {
        requestReceived.set_value();
        ServerAnswer silence;
        silence.kind = ServerAnswer::Kind::StaySilent;
        return silence;
    });
    std::stop_source stop;
    auto ended = std::async(std::launch::async,
        [&] { return fixture.client.store->watch(key, ObjectVersion(1), testDeadline(60000), stop.get_token()); });
    requestReceived.get_future().wait();
    stop.request_stop();
    BOOST_REQUIRE((ended.wait_for(std::chrono::seconds(20)) == std::future_status::ready));
    BOOST_TEST(ended.get().has_error());
    BOOST_TEST(fixture.server.receivedRequests()[0].target.find("?watch=1&timeout_ms=30000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callsBeyondTheBudgetFailWithoutBeingSent)
{
    ClientFixture fixture([](const ReceivedRequest&) { return withVersion(1); },
        { .url = {}, .callTimeout = Milliseconds(5000), .callsPerSecond = 0.1, .callBurst = 2 });
    BOOST_TEST(fixture.client.store->get(key, testDeadline()).has_value());
    BOOST_TEST(fixture.client.store->get(key, testDeadline()).has_value());
    const auto refused = fixture.client.store->get(key, testDeadline());
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == ErrorCode::PlatformUnavailable));
    BOOST_TEST(refused.error().retryAfter.value().count() > 1000);
    BOOST_TEST(fixture.server.receivedRequests().size() == 2U);
    BOOST_TEST(fixture.hasCount("get", "over_budget"));
}

BOOST_AUTO_TEST_CASE(retriesHonourRetryAfter)
{
    unsigned requestCount = 0;
    ClientFixture fixture([&](const ReceivedRequest&) {
        if (++requestCount > 1)
            return withVersion(1, "value");
        return ServerAnswer { .status = 503, .headers = { { "Retry-After", "1" } }, .body = {} };
    });
    const auto startedAt = framework::SystemClock().now();
    BOOST_TEST(readObject(*fixture.client.store, key, testDeadline()).has_value());
    BOOST_TEST((framework::SystemClock().now() - startedAt >= std::chrono::seconds(1)));
    BOOST_TEST(fixture.hasCount("get", "held_off"));
    requestCount = 0;
    // The read isn't retried if the wait would end after the deadline.
    BOOST_TEST(readObject(*fixture.client.store, key, testDeadline(900)).has_error());
    BOOST_TEST(requestCount == 1U);
}

// Prevents a model from being loaded twice when one replica was decided: the platform writes the claim, and then closes
// the connection before it answers, or receives the write a second time, which conflicts with the first.
BOOST_AUTO_TEST_CASE(aWriteWithoutItsAnswerIsSentOnceAndRecognised)
{
    constexpr unsigned rounds = 200;
    std::string stored = "x";
    unsigned version = 1;
    unsigned writes = 0;
    ClientFixture fixture(
        [&](const ReceivedRequest& request) {
            if (request.method == "GET")
                return withVersion(version, stored);
            ++writes;
            const auto expected = request.headers.find("if-match");
            if (expected->second != "\"" + std::to_string(version) + "\"")
                return withStatus(412);
            stored = request.body;
            ++version;
            ServerAnswer conflict = withStatus(412);
            if (writes % 2 == 0)
                conflict.kind = ServerAnswer::Kind::CloseConnection;
            return conflict;
        },
        { .url = {}, .callsPerSecond = 100000, .callBurst = 100000 });
    for (unsigned round = 1; round <= rounds; ++round) {
        const std::string nonce = ";" + std::to_string(round) + ";";
        const ObjectUpdate append { [&](const auto& current) -> framework::Result<ObjectChange> {
                                       return ObjectChange { *current + nonce };
                                   },
            [&](const std::string& value) { return value.find(nonce) != std::string::npos; } };
        const std::string wanted = stored + nonce;
        const auto updated = updateObject(*fixture.client.store, key, append, testDeadline());
        BOOST_REQUIRE(updated.has_value());
        BOOST_REQUIRE(stored == wanted);
        BOOST_REQUIRE(writes == round);
    }
    BOOST_TEST(fixture.hasCount("put", "broken", rounds / 2));
    BOOST_TEST(fixture.hasCount("put", "conflict", rounds / 2));
}

BOOST_AUTO_TEST_SUITE_END()
