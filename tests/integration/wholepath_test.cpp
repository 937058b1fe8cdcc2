#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon::testsupport;

namespace {

/// A deployment with one router, one booking service and one engine with memory for one model at a time.
struct WholePath {
    WholePath()
    {
        deployment.addUpstream("gpu-1", { .standinArguments = { "--memory-mib", "1000" } });
        deployment.addUpstream("booking-1", { .kind = UpstreamKind::Service, .pool = "booking" });
        deployment.addRouter("entry-1");
        deployment.rollOut(BundleBuilder(1)
                               .enginePool("engines", "old", 1000)
                               .servicePool("booking", "old")
                               .model("policy", 700, { "engines" }, { { "old", 1 } })
                               .model("notes", 600, { "engines" }, { { "old", 1 } })
                               .adapter("notes", "kiosk", 50, { { "old", 1 } })
                               .service("slots", { "booking" })
                               .text());
        deployment.waitUntilReady();
    }

    HttpAnswer complete(const std::string& model, const std::string& prompt, bool isStream)
    {
        return call(completionCall(callers(), model, prompt, { .isStream = isStream }));
    }
    std::string callers() { return deployment.router("entry-1").callers(); }
    std::vector<std::string> engines() { return deployment.upstreams(UpstreamKind::Engine); }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(WholePathThroughSeparateProcesses, WholePath)

BOOST_AUTO_TEST_CASE(aColdModelIsLoadedAndItsAnswerStreamsCompletely)
{
    const HttpAnswer answer = complete("policy", "may this university have a block", true);
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.failure == "");
    BOOST_TEST(answer.headers.at("content-type") == "text/event-stream");
    BOOST_TEST(completionText(answer) == "may this university have a block");
    BOOST_TEST(completionText(complete("policy", "and warm without a stream", false)) == "and warm without a stream");
    BOOST_TEST(loadsOf(engines(), "policy") == 1);
}

BOOST_AUTO_TEST_CASE(aSecondModelIsLoadedAfterAnUnload)
{
    BOOST_TEST(completionText(complete("policy", "first", true)) == "first");
    BOOST_TEST(completionText(complete("notes", "second", true)) == "second");
    BOOST_TEST(completionText(complete("policy", "first again", false)) == "first again");
    BOOST_TEST(loadsOf(engines(), "policy") == 2);
    BOOST_TEST(violationsAt(engines()).empty());
}

BOOST_AUTO_TEST_CASE(anAdapterIsLoadedBesideItsModel)
{
    BOOST_TEST(completionText(complete("notes/kiosk", "a reminder", true)) == "a reminder");
    BOOST_TEST(maxConcurrentReplicas(engines(), "notes", "kiosk") == 1);
    BOOST_TEST(violationsAt(engines()).empty());
}

BOOST_AUTO_TEST_CASE(aPlainServiceIsCalledThroughTheSamePath)
{
    const HttpAnswer answer = call(serviceCall(callers(), "slots", "slot-4"));
    BOOST_REQUIRE(answer.status == 200);
    const web::json::value echo = answer.json();
    BOOST_TEST(echo.at("method").as_string() == "POST");
    BOOST_TEST(echo.at("path").as_string() == "/holds");
    BOOST_TEST(echo.at("query").at("day").as_string() == "2");
    BOOST_TEST(echo.at("body").as_string() == R"({"token":"slot-4"})");
    BOOST_TEST(executionsOf(deployment.upstreams(UpstreamKind::Service), "slot-4") == 1);
}

BOOST_AUTO_TEST_CASE(aModelThatIsNotInTheBundleIsRefusedWithAMessage)
{
    const HttpAnswer answer = complete("unheard", "anything", false);
    BOOST_TEST(answer.status == 404);
    BOOST_TEST(refusalField(answer, "code") == "unknown_model");
    BOOST_TEST(refusalField(answer, "execution") == "not_run");
    BOOST_TEST(!refusalField(answer, "message").empty());
    BOOST_TEST(executionsAt(engines()).empty());
}

BOOST_AUTO_TEST_CASE(processesExitCleanlyOnSigterm)
{
    BOOST_TEST(completionText(complete("policy", "before", false)) == "before");
    deployment.router("entry-1").process->sendSignal(SIGTERM);
    BOOST_TEST(deployment.router("entry-1").process->waitForExit() == 0);
    deployment.upstream("gpu-1").agent->sendSignal(SIGTERM);
    BOOST_TEST(deployment.upstream("gpu-1").agent->waitForExit() == 0);
}

BOOST_AUTO_TEST_SUITE_END()
