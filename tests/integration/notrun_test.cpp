#include "support/bundlebuilder.h"
#include "support/callers.h"
#include "support/deployment.h"

#include <boost/test/unit_test.hpp>
#include <csignal>

using namespace lagoon::testsupport;

namespace {

const std::string token = "slot-17";

/// A deployment with one booking service and two fault proxies: one between routers and agent, one between agent and
/// service. Calls of the service must not be retried once they may have run. The service records what it has executed.
struct BookingFixture {
    BookingFixture()
    {
        deployment.addUpstream("booking-1",
            { .kind = UpstreamKind::Service, .pool = "booking", .hasLinkProxy = true, .hasUpstreamProxy = true });
        deployment.addRouter("entry-1");
        deployment.addRouter("entry-2");
        deployment.rollOut(BundleBuilder(1).servicePool("booking", "old").service("slots", { "booking" }).text());
        deployment.waitUntilReady();
        // Opens the links to which the tests then apply faults.
        for (const std::string entry : { "entry-1", "entry-2" }) {
            if (hold(entry, "warm-up").answer().status != 200)
                throw std::runtime_error("the call without faults failed");
        }
    }

    PendingCall hold(const std::string& entry, const std::string& slot = token, const std::string& key = "")
    {
        std::map<std::string, std::string> headers { { "X-Lagoon-Timeout-Ms", "15000" } };
        if (!key.empty())
            headers["Idempotency-Key"] = key;
        return PendingCall(serviceCall(deployment.router(entry).callers(), "slots", slot, headers));
    }

    UpstreamVm& booking() { return deployment.upstream("booking-1"); }
    std::string linkProxy() { return booking().linkProxy->readyText("http"); }
    std::string upstreamProxy() { return booking().upstreamProxy->readyText("http"); }
    std::size_t executions(const std::string& slot = token)
    {
        return executionsOf(deployment.upstreams(UpstreamKind::Service), slot);
    }
    void waitUntilExecuted()
    {
        waitFor("the service has the call", [&] { return executions() > 0; });
    }
    /// The value of a sample in the agent's metrics, by its name with labels; 0 if there is none.
    double agentCounter(const std::string& line)
    {
        const std::string text = getFrom(booking().ops(), "/metrics").body;
        const std::size_t at = text.find(line + " ");
        return at == std::string::npos ? 0 : std::stod(text.substr(at + line.size()));
    }

    Deployment deployment;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(NotRunIsReliableAndNothingRunsTwice, BookingFixture)

// The link to the agent stops delivering bytes just before a slot hold is sent; new connections work. The call is
// refused as not run. Later the network delivers the delayed frame: the hold must not be executed even then.
BOOST_AUTO_TEST_CASE(aDispatchDeliveredAfterItsFenceIsNotRun)
{
    setFaults(linkProxy(), R"({"hold": "to_server"})");
    PendingCall call = hold("entry-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(answer.status != 200);
    BOOST_TEST(refusalField(answer, "execution") == "not_run");
    BOOST_TEST(executions() == 0u);
    const std::string refusals = R"(lagoon_refusals_total{code="fenced",execution="not_run"})";
    const double before = agentCounter(refusals);
    setFaults(linkProxy(), R"({"release": true})");
    // The router has closed the held connection, but its bytes still reach the agent.
    waitFor("the agent has refused the late frame", [&] {
        return agentCounter(refusals) + agentCounter(R"(lagoon_refusals_total{code="below_floor",execution="not_run"})")
            > before;
    });
    BOOST_TEST(executions() == 0u);
}

// The link between router and agent stops delivering bytes while the service executes a hold. The caller must get the
// answer over a new link, and the hold must be executed once.
BOOST_AUTO_TEST_CASE(anAnswerSurvivesALinkThatGoesSilent)
{
    setFaults(booking().upstream(), R"({"work_ms": 4000})");
    PendingCall call = hold("entry-1");
    waitUntilExecuted();
    setFaults(linkProxy(), R"({"silent": "both"})");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(answer.failure == "");
    BOOST_TEST(answer.json().at("body").as_string().find(token) != std::string::npos);
    BOOST_TEST(executions() == 1u);
}

// The service has executed the hold and the link loses the agent's answer. The agent keeps answers until they are
// confirmed, so the caller gets it over a new link, and the hold is not executed again.
BOOST_AUTO_TEST_CASE(anAnswerLostOnTheLinkIsResent)
{
    setFaults(linkProxy(), R"({"silent": "to_client"})");
    PendingCall call = hold("entry-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(answer.status == 200);
    BOOST_TEST(executions() == 1u);
}

// The agent is killed and restarted while the service executes the hold. The agent's ledger is lost, so the call must
// be answered as unknown, and neither router nor agent may send the hold again.
BOOST_AUTO_TEST_CASE(aCallIsUnknownIfItsAgentIsKilled)
{
    setFaults(booking().upstream(), R"({"work_ms": 1000})");
    PendingCall call = hold("entry-1");
    waitUntilExecuted();
    booking().agent->kill();
    deployment.restartAgent("booking-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(refusalField(answer, "execution") == "unknown");
    BOOST_TEST(executions() == 1u);
}

// The agent is killed before the hold is sent to it, so the hold must be refused as "not run".
BOOST_AUTO_TEST_CASE(aCallToADeadAgentIsNotRun)
{
    booking().agent->kill();
    setFaults(linkProxy(), R"({"cut": true, "refuse": true})");
    PendingCall call = hold("entry-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(refusalField(answer, "execution") == "not_run");
    BOOST_TEST(executions() == 0u);
}

// The service executes the hold and closes the connection instead of answering. An HTTP client with a connection pool
// would resend the POST by itself: the hold would be executed twice, and the caller would see one success.
BOOST_AUTO_TEST_CASE(anUpstreamThatClosesAfterExecutingIsCalledOnce)
{
    setFaults(booking().upstream(), R"({"calls": {"at": "after", "do": "close", "count": 1}})");
    PendingCall call = hold("entry-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(refusalField(answer, "execution") == "unknown");
    BOOST_TEST(refusalField(answer, "code") == "upstream_failed");
    BOOST_TEST(executions() == 1u);
}

// The service executes the hold and closes the connection instead of answering. The hold must not be sent to the second
// booking service.
BOOST_AUTO_TEST_CASE(aCallThatMayHaveRunIsNotSentToAnotherUpstream)
{
    deployment.addUpstream("booking-2", { .kind = UpstreamKind::Service, .pool = "booking" });
    const std::vector<std::string> services = deployment.upstreams(UpstreamKind::Service);
    waitFor("both services get calls", [&] {
        hold("entry-1", "warm-up").answer();
        return executionsOf({ deployment.upstream("booking-2").upstream() }, "warm-up") > 0;
    });
    for (const std::string& service : services)
        setFaults(service, R"({"calls": {"at": "after", "do": "close", "count": 1}})");
    PendingCall call = hold("entry-1");
    BOOST_TEST(refusalField(call.answer(), "execution") == "unknown");
    BOOST_TEST(executions() == 1u);
}

// The service's answer is lost on the way to the agent while the platform is down.
BOOST_AUTO_TEST_CASE(aLostUpstreamAnswerDuringAnOutageIsUnknown)
{
    setFaults(deployment.platform(), R"({"mode": "refuse"})");
    setFaults(upstreamProxy(), R"({"lose_answer": {"count": 1}})");
    PendingCall call = hold("entry-1");
    const HttpAnswer& answer = call.answer();
    BOOST_TEST(refusalField(answer, "execution") == "unknown");
    BOOST_TEST(executions() == 1u);
}

// A caller sends the same hold with the same idempotency key through two routers at once, as a kiosk does whose
// connection breaks. Only one of the two may run.
BOOST_AUTO_TEST_CASE(aKeySentToTwoRoutersConcurrentlyRunsOnce)
{
    setFaults(booking().upstream(), R"({"work_ms": 300})");
    PendingCall first = hold("entry-1", token, "kiosk-9");
    PendingCall second = hold("entry-2", token, "kiosk-9");
    const int successes = (first.answer().status == 200) + (second.answer().status == 200);
    BOOST_TEST(successes == 1);
    const HttpAnswer& refused = first.answer().status == 200 ? second.answer() : first.answer();
    BOOST_TEST(refusalField(refused, "code") == "duplicate_key");
    BOOST_TEST(refusalField(refused, "execution") == "unknown");
    BOOST_TEST(executions() == 1u);
}

// A caller sends the same idempotency key through two routers one after the other, and the platform's response to the
// first router's write of the key is lost. The hold must run once.
BOOST_AUTO_TEST_CASE(aKeySentToTwoRoutersInSequenceRunsOnce)
{
    setFaults(deployment.platform(), R"({"lose_answers": {"count": 1, "prefix": "keys/"}})");
    BOOST_TEST(hold("entry-1", token, "kiosk-9").answer().status == 200);
    BOOST_TEST(refusalField(hold("entry-2", token, "kiosk-9").answer(), "code") == "duplicate_key");
    BOOST_TEST(executions() == 1u);
    BOOST_TEST(getJson(deployment.platform(), "/standin/record").at("lost_answers").as_integer() == 1);
}

// A hold with an idempotency key arrives while the platform is down. The router cannot tell whether the key is new, so
// it refuses the hold as not run.
BOOST_AUTO_TEST_CASE(aKeyedCallDuringAPlatformOutageIsNotRun)
{
    setFaults(deployment.platform(), R"({"mode": "refuse"})");
    PendingCall call = hold("entry-1", token, "kiosk-9");
    BOOST_TEST(refusalField(call.answer(), "execution") == "not_run");
    BOOST_TEST(executions() == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
