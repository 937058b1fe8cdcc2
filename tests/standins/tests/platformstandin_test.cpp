#include "support/httpcall.h"
#include "support/programs.h"
#include "support/waitfor.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

struct PlatformFixture {
    HttpAnswer put(const std::string& key, const std::string& value, const std::string& condition)
    {
        const bool creates = condition == "*";
        return call({ .method = "PUT",
            .url = objectUrl(key),
            .body = value,
            .headers = { { creates ? "If-None-Match" : "If-Match", condition } } });
    }
    HttpAnswer remove(const std::string& key, const std::string& version)
    {
        return call({ .method = "DELETE", .url = objectUrl(key), .headers = { { "If-Match", version } } });
    }
    HttpAnswer get(const std::string& key) { return call({ .url = objectUrl(key) }); }
    std::string objectUrl(const std::string& key) const { return urlOf(endpoint, "/v1/objects/" + key); }
    void setVms(const std::string& state)
    {
        sendJson("PUT", endpoint, "/standin/vms",
            web::json::value::parse(R"({"vms": [{"vm": "a", "state": ")" + state + "\"}]}"));
    }
    std::uint64_t callsOf(const std::string& kind)
    {
        const web::json::value calls = getJson(endpoint, "/standin/record").at("calls");
        return calls.has_field(kind) ? calls.at(kind).as_number().to_uint64() : 0;
    }

    TemporaryFolder folder;
    std::unique_ptr<ChildProcess> process = startProgram(Program::PlatformStandin, "platform", {}, folder);
    std::string endpoint = process->readyText("http");
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(PlatformStandin, PlatformFixture)

BOOST_AUTO_TEST_CASE(writesOnlyOnTheExpectedVersion)
{
    BOOST_TEST(get("a/b").status == 404);
    BOOST_TEST(put("a/b", "one", "\"1\"").status == 412);
    const HttpAnswer created = put("a/b", "one", "*");
    BOOST_TEST(created.status == 200);
    BOOST_TEST(put("a/b", "again", "*").status == 412);
    const HttpAnswer changed = put("a/b", "two", created.headers.at("etag"));
    BOOST_TEST(changed.status == 200);
    BOOST_TEST(put("a/b", "stale", created.headers.at("etag")).status == 412);
    BOOST_TEST(get("a/b").body == "two");
    BOOST_TEST(get("a/b").headers.at("etag") == changed.headers.at("etag"));
    BOOST_TEST(put("a/b", std::string(1024 * 1024 + 1, 'x'), changed.headers.at("etag")).status == 413);
}

BOOST_AUTO_TEST_CASE(neverRepeatsAVersionAfterADeletion)
{
    const std::string first = put("a", "one", "*").headers.at("etag");
    BOOST_TEST(remove("a", "\"7\"").status == 412);
    BOOST_TEST(remove("a", first).status == 200);
    BOOST_TEST(remove("a", first).status == 404);
    BOOST_TEST(put("a", "two", "*").headers.at("etag") != first);
}

BOOST_AUTO_TEST_CASE(listsByPrefix)
{
    put("a/1", "x", "*");
    put("a/2", "x", "*");
    put("b/1", "x", "*");
    const web::json::value listed = getJson(endpoint, "/v1/objects?prefix=a/");
    BOOST_REQUIRE(listed.at("objects").size() == 2);
    BOOST_TEST(listed.at("objects").at(1).at("key").as_string() == "a/2");
}

BOOST_AUTO_TEST_CASE(watchAnswersOnceTheVersionDiffers)
{
    const std::string tag = put("a", "one", "*").headers.at("etag");
    BOOST_TEST(call({ .url = objectUrl("a?watch=1&timeout_ms=1") }).status == 304);
    PendingCall watch({ .url = objectUrl("a?watch=1&timeout_ms=60000") });
    waitFor("the watch waits", [&] { return callsOf("watch") == 2; });
    put("a", "two", tag);
    BOOST_TEST(watch.answer().body == "two");
    BOOST_TEST(call({ .url = objectUrl("none?watch=4&timeout_ms=60000") }).status == 404);
}

// A write is applied, but its answer is lost, so the writer can't distinguish it from a write that wasn't applied.
BOOST_AUTO_TEST_CASE(losesTheAnswerOfAnAppliedWrite)
{
    setFaults(endpoint, R"({"lose_answers": {"count": 1, "prefix": "replicas/"}})");
    BOOST_TEST(put("other", "x", "*").status == 200);
    BOOST_TEST(!put("replicas/a", "x", "*").isComplete());
    BOOST_TEST(get("replicas/a").body == "x");
    BOOST_TEST(put("replicas/b", "x", "*").status == 200);
}

BOOST_AUTO_TEST_CASE(refusesOrHangsInAnOutageAndRecovers)
{
    put("a", "one", "*");
    setFaults(endpoint, R"({"mode": "refuse"})");
    BOOST_TEST(get("a").status == 503);
    BOOST_TEST(put("b", "x", "*").status == 503);
    setFaults(endpoint, R"({"mode": "hang"})");
    PendingCall hanging({ .url = objectUrl("a") });
    waitFor("the call hangs", [&] { return callsOf("get") == 2; });
    BOOST_TEST(!hanging.isFinished());
    setFaults(endpoint, R"({"mode": "up"})");
    BOOST_TEST(!hanging.answer().isComplete());
    BOOST_TEST(get("a").status == 200);
    BOOST_TEST(get("b").status == 404);
}

BOOST_AUTO_TEST_CASE(vmListLagsWhileFrozen)
{
    const auto stateShown = [&] { return getJson(endpoint, "/v1/vms").at("vms").at(0).at("state").as_string(); };
    setVms("live");
    BOOST_TEST(stateShown() == "live");
    setFaults(endpoint, R"({"vms_frozen": true})");
    setVms("leaving");
    BOOST_TEST(stateShown() == "live");
    const std::string known = std::to_string(getJson(endpoint, "/v1/vms").at("version").as_integer());
    PendingCall waiting({ .url = urlOf(endpoint, "/v1/vms?known=" + known + "&timeout_ms=60000") });
    setFaults(endpoint, R"({"vms_frozen": false})");
    BOOST_TEST(waiting.answer().json().at("vms").at(0).at("state").as_string() == "leaving");
}

BOOST_AUTO_TEST_CASE(unknownFaultIsAnError)
{
    BOOST_CHECK_THROW(setFaults(endpoint, R"({"mood": "up"})"), std::runtime_error);
}

BOOST_AUTO_TEST_SUITE_END()
