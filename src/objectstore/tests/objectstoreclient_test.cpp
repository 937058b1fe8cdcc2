#include "objectstore/objectstoreclient.h"

#include "framework/iclock.h"
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

framework::Deadline soon(int milliseconds = 10000)
{
    return framework::Deadline::after(framework::SystemClock().now(), Milliseconds(milliseconds));
}

ServerAnswer withVersion(unsigned version, const std::string& body = "")
{
    return { .headers = { { "ETag", "\"" + std::to_string(version) + "\"" } }, .body = body };
}

ServerAnswer withStatus(unsigned status) { return { .status = status, .headers = {}, .body = {} }; }

/// A client of a server that answers like this.
struct Setup {
    explicit Setup(TestServer::Handler handler, ObjectStoreSettings settings = {})
        : server(std::move(handler))
    {
        settings.url = server.url();
        client = makeObjectStoreClient(settings, metrics);
    }
    bool counts(const std::string& call, const std::string& result, unsigned times = 1) const
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
    Setup setup([](const SeenRequest& request) { return withVersion(request.method == "GET" ? 4 : 5, "value"); });
    const auto object = setup.client.store->get(key, soon());
    BOOST_REQUIRE(object.has_value());
    BOOST_TEST(object.value()->value == "value");
    BOOST_TEST(object.value()->version.value() == 4U);
    BOOST_TEST(setup.client.store->put(key, "new", ObjectVersion(4), soon()).value().value() == 5U);
    BOOST_TEST(setup.client.store->put(key, "new", ObjectVersion(), soon()).has_value());
    BOOST_TEST(setup.client.store->remove(key, ObjectVersion(5), soon()).has_value());
    auto seen = setup.server.seen();
    BOOST_TEST(seen[0].target == "/v1/objects/replicas/ikeja/policy");
    BOOST_TEST(seen[1].headers["if-match"] == "\"4\"");
    BOOST_TEST(seen[1].body == "new");
    BOOST_TEST(seen[2].headers["if-none-match"] == "*");
    BOOST_TEST(seen[3].method == "DELETE");
    BOOST_TEST(setup.counts("put", "ok", 2));
}

BOOST_AUTO_TEST_CASE(answersThatAreNoSuccessKeepTheirMeaning)
{
    unsigned status = 404;
    Setup setup([&](const SeenRequest&) { return withStatus(status); });
    IObjectStore& store = *setup.client.store;
    const auto putError = [&](unsigned answered) {
        status = answered;
        return store.put(key, "x", ObjectVersion(1), soon()).error();
    };
    BOOST_TEST(!store.get(key, soon()).value().has_value());
    BOOST_TEST((store.watch(key, ObjectVersion(3), soon()).error().code == ErrorCode::NotFound));
    BOOST_TEST(store.remove(key, ObjectVersion(3), soon()).has_value());
    BOOST_TEST((putError(412).code == ErrorCode::PlatformConflict));
    BOOST_TEST((putError(413).code == ErrorCode::TooLarge));
    BOOST_TEST((putError(503).execution == Execution::NotRun));
    BOOST_TEST((putError(500).execution == Execution::Unknown));
    // A 200 without a version: written, but as what?
    BOOST_TEST((putError(200).execution == Execution::Unknown));
    status = 304;
    BOOST_TEST(!store.watch(key, ObjectVersion(3), soon()).value().has_value());
}

BOOST_AUTO_TEST_CASE(keysThatWouldChangeThePathAreNotSent)
{
    Setup setup([](const SeenRequest&) { return withVersion(1); });
    for (const char* bad : { "", "/a", "a/", "a//b", "a/../b", "a?b", "a b", "a%2fb", "a#b" })
        BOOST_TEST(setup.client.store->get(ObjectKey(bad), soon()).has_error(), bad);
    BOOST_TEST(setup.server.seen().empty());
}

BOOST_AUTO_TEST_CASE(aListIsReadAndABadOneRefused)
{
    std::string body = R"({"objects":[{"key":"a/b","version":3}]})";
    Setup setup([&](const SeenRequest&) { return ServerAnswer { .headers = {}, .body = body }; });
    BOOST_TEST(setup.client.store->list("a/", soon()).value().at(0).version.value() == 3U);
    BOOST_TEST(setup.server.seen()[0].target == "/v1/objects?prefix=a/");
    body = R"({"objects":[{"key":"a/b","version":"3"}]})";
    BOOST_TEST((setup.client.store->list("a/", soon()).error().code == ErrorCode::BadObject));
}

BOOST_AUTO_TEST_CASE(theVmListIsReadAndUnknownStatesRefused)
{
    std::string state = "leaving";
    Setup setup([&](const SeenRequest&) {
        return ServerAnswer { .headers = {},
            .body = R"({"version":9,"vms":[{"vm":"u-1","role":"upstream","state":")" + state
                + R"(","site":"ikeja","failure_domain":"a","pool":"p","endpoint":"127.0.0.1:1"},)"
                + R"({"vm":"r-1","role":"router","state":"live","site":"ikeja","failure_domain":"a",)"
                + R"("endpoint":"127.0.0.1:2"}]})" };
    });
    const auto snapshot = setup.client.vmList->waitForChange(0, soon());
    BOOST_REQUIRE(snapshot.has_value());
    BOOST_TEST(snapshot.value().version == 9U);
    BOOST_TEST((snapshot.value().vms.at(0).state == VmState::Leaving));
    BOOST_TEST((snapshot.value().vms.at(1).role == VmRole::Router));
    state = "resting";
    BOOST_TEST((setup.client.vmList->waitForChange(9, soon()).error().code == ErrorCode::BadObject));
}

// Requests wait although the platform is up: a connection to it went silent for good, and calls over it had no end.
BOOST_AUTO_TEST_CASE(aSilentConnectionEndsTheCallInTimeAndTheNextOneWorks)
{
    Setup setup(
        [](const SeenRequest& request) {
            ServerAnswer answer = withVersion(1, "value");
            if (request.connection == 1)
                answer.kind = ServerAnswer::Kind::StaySilent;
            return answer;
        },
        { .url = {}, .callTimeout = Milliseconds(50) });
    const auto lost = setup.client.store->put(key, "x", ObjectVersion(1), soon());
    BOOST_REQUIRE(lost.has_error());
    BOOST_TEST((lost.error().code == ErrorCode::PlatformUnavailable));
    BOOST_TEST((lost.error().execution == Execution::Unknown));
    BOOST_TEST(setup.counts("put", "timeout"));
    BOOST_TEST(readObject(*setup.client.store, key, soon()).value()->value == "value");
    BOOST_TEST(setup.server.seen().back().connection > 1U);
}

BOOST_AUTO_TEST_CASE(aWatchEndsWhenAskedToStop)
{
    std::promise<void> wasAsked;
    Setup setup([&](const SeenRequest&) {
        wasAsked.set_value();
        ServerAnswer silence;
        silence.kind = ServerAnswer::Kind::StaySilent;
        return silence;
    });
    std::stop_source stop;
    auto ended = std::async(std::launch::async,
        [&] { return setup.client.store->watch(key, ObjectVersion(1), soon(60000), stop.get_token()); });
    wasAsked.get_future().wait();
    stop.request_stop();
    BOOST_REQUIRE((ended.wait_for(std::chrono::seconds(20)) == std::future_status::ready));
    BOOST_TEST(ended.get().has_error());
    BOOST_TEST(setup.server.seen()[0].target.find("?watch=1&timeout_ms=30000") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(callsBeyondTheBudgetFailAtHome)
{
    Setup setup([](const SeenRequest&) { return withVersion(1); },
        { .url = {}, .callTimeout = Milliseconds(5000), .callsPerSecond = 0.1, .callBurst = 2 });
    BOOST_TEST(setup.client.store->get(key, soon()).has_value());
    BOOST_TEST(setup.client.store->get(key, soon()).has_value());
    const auto refused = setup.client.store->get(key, soon());
    BOOST_REQUIRE(refused.has_error());
    BOOST_TEST((refused.error().code == ErrorCode::PlatformUnavailable));
    BOOST_TEST(refused.error().retryAfter.value().count() > 1000);
    BOOST_TEST(setup.server.seen().size() == 2U);
    BOOST_TEST(setup.counts("get", "over_budget"));
}

BOOST_AUTO_TEST_CASE(retriesWaitAsLongAsThePlatformAsks)
{
    unsigned asked = 0;
    Setup setup([&](const SeenRequest&) {
        if (++asked > 1)
            return withVersion(1, "value");
        return ServerAnswer { .status = 503, .headers = { { "Retry-After", "1" } }, .body = {} };
    });
    const auto startedAt = framework::SystemClock().now();
    BOOST_TEST(readObject(*setup.client.store, key, soon()).has_value());
    BOOST_TEST((framework::SystemClock().now() - startedAt >= std::chrono::seconds(1)));
    BOOST_TEST(setup.counts("get", "held_off"));
    asked = 0;
    // Nothing to wait for if it can't end in time.
    BOOST_TEST(readObject(*setup.client.store, key, soon(900)).has_error());
    BOOST_TEST(asked == 1U);
}

// A model is loaded twice where once was decided. The platform wrote the claim and closed the connection before it
// answered; cpprest's client sent the request again by itself, and the second one met a conflict with the first.
// The client does so only over a connection that is back in its pool by then, so the story is played until it does.
BOOST_AUTO_TEST_CASE(aWriteThatTheLibrarySentTwiceIsKnownAsOurs)
{
    constexpr unsigned mostRounds = 200;
    std::string stored = "x";
    unsigned version = 1;
    bool isFirstPut = true;
    Setup setup([&](const SeenRequest& request) {
        if (request.method == "GET")
            return withVersion(version, stored);
        const auto expected = request.headers.find("if-match");
        if (expected->second != "\"" + std::to_string(version) + "\"")
            return withStatus(412);
        stored = request.body;
        ServerAnswer answer = withVersion(++version);
        if (std::exchange(isFirstPut, false))
            answer.kind = ServerAnswer::Kind::CloseConnection;
        return answer;
    });
    unsigned round = 0;
    while (!setup.counts("put", "conflict") && round < mostRounds) {
        const std::string nonce = ";" + std::to_string(++round) + ";";
        const ObjectUpdate append { [&](const auto& present) -> framework::Result<ObjectChange> {
                                       return ObjectChange { *present + nonce };
                                   },
            [&](const std::string& value) { return value.find(nonce) != std::string::npos; } };
        const std::string wanted = stored + nonce;
        isFirstPut = true;
        const auto updated = updateObject(*setup.client.store, key, append, soon());
        BOOST_REQUIRE(updated.has_value());
        BOOST_REQUIRE(stored == wanted);
    }
    BOOST_TEST(setup.counts("put", "conflict"));
}

BOOST_AUTO_TEST_SUITE_END()
