#include "agent/tests/gatefixture.h"

#include <boost/test/unit_test.hpp>

using namespace lagoon;
using namespace lagoon::agent;
using namespace lagoon::agent::testing;

namespace {

/// A gate whose upstream's crashes are traced to requests.
struct CrashFixture : GateFixture {
    CrashFixture()
    {
        gate = std::make_unique<RequestGate>(
            GatePorts { control, control, targets, upstream, metrics, &crashes }, own, limits);
        session = gate->openSession(router);
    }

    void dispatchWithFingerprint(std::uint64_t sequence)
    {
        fb::DispatchT dispatch;
        dispatch.id = id(sequence);
        dispatch.agent_incarnation = own.value();
        dispatch.floor = 1;
        dispatch.target = std::make_unique<fb::TargetT>();
        dispatch.target->model = "a";
        dispatch.request_name = "7-" + std::to_string(sequence);
        dispatch.method = "POST";
        dispatch.path = "/v1/completions";
        dispatch.remaining_ms = 1000;
        dispatch.fingerprint.assign(quarantine::RequestFingerprint::size, 5);
        gate->dispatch(link, std::move(dispatch));
        control.runPosted();
    }

    void failLastCall(Execution execution)
    {
        upstream->calls.back()->events.onFailed(Error { ErrorCode::UpstreamBroken, "read answer", "", "", execution });
        control.runPosted();
        control.advance(Milliseconds(200));
    }

    std::size_t confirmedCrashes() const
    {
        std::size_t count = 0;
        for (const wire::Message& message : sent) {
            for (const auto& crash : message.body.AsCrashEvidence()->crashes)
                count += crash->is_confirmed ? 1 : 0;
        }
        return count;
    }

    bool accepts = false;
    std::vector<wire::Message> sent;
    UpstreamCrashes crashes { { control, control, metrics, framework::VmName("vm"), own,
        [this](const std::function<void(bool)>& handler) { handler(accepts); },
        [this](const wire::Message& message) { sent.push_back(message); } } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(CrashesOfUpstreams, CrashFixture)

BOOST_AUTO_TEST_CASE(aCallThatEndsWithItsUpstreamIsReportedToTheRouters)
{
    dispatchWithFingerprint(1);
    failLastCall(Execution::Unknown);
    BOOST_TEST(confirmedCrashes() == 1u);
    BOOST_TEST(!link->all<fb::RefusedT>().back().cut_at.empty());
}

// Prevents a crash from being missed because the upstream still accepts connections while its process ends.
BOOST_AUTO_TEST_CASE(anUpstreamThatAcceptsForAMomentAfterACutHasCrashed)
{
    accepts = true;
    dispatchWithFingerprint(1);
    upstream->calls.back()->events.onFailed(Error { ErrorCode::UpstreamBroken, "", "", "", Execution::Unknown });
    control.runPosted();
    accepts = false;
    control.advance(Milliseconds(60));
    accepts = true;
    control.advance(Milliseconds(200));
    BOOST_TEST(confirmedCrashes() == 1u);
}

// Prevents requests from being blamed for a broken connection to an upstream that goes on running.
BOOST_AUTO_TEST_CASE(aBrokenConnectionIsNoCrashWhileTheUpstreamLives)
{
    accepts = true;
    dispatchWithFingerprint(1);
    failLastCall(Execution::Unknown);
    BOOST_TEST(confirmedCrashes() == 0u);
}

// Prevents requests from being blamed for calls that were never sent, or that the agent stopped itself.
BOOST_AUTO_TEST_CASE(stoppedAndUnsentCallsAreNotCuts)
{
    dispatchWithFingerprint(1);
    failLastCall(Execution::NotRun);
    dispatchWithFingerprint(2);
    control.advance(Milliseconds(1500));
    failLastCall(Execution::Unknown);
    BOOST_TEST(sent.empty());
}

// Prevents the upstream's next run from being kept without requests for what the former one has said.
BOOST_AUTO_TEST_CASE(theNextRunOfAnUpstreamThatLeftGetsRequests)
{
    accepts = true;
    dispatchWithFingerprint(1);
    answerWith(0, 200, { { "Server-Leaving", "1" } });
    control.advance(Milliseconds(1000));
    dispatchWithFingerprint(2);
    BOOST_TEST(upstream->calls.size() == 1u);
    accepts = false;
    control.advance(Milliseconds(400));
    dispatchWithFingerprint(3);
    BOOST_TEST(upstream->calls.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
