#include "direct/internal/agentlinks.h"

#include "direct/internal/enginewire.h"
#include "fairness/usewire.h"
#include "framework/testing/manualcontrol.h"
#include "quarantine/evidencewire.h"
#include "wire/testing/faketransport.h"

#include <boost/test/unit_test.hpp>
#include <new>
#include <utility>

namespace lagoon::direct {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;

const Endpoint first("10.0.0.1:80");
const Endpoint second("10.0.0.2:80");
const Endpoint firstAgent("10.0.0.1:7000");
const Endpoint secondAgent("10.0.0.2:7000");

struct Fixture {
    Fixture() { links.setEngines({ engine(first, "i-1"), engine(second, "i-2") }); }

    static catalog::Upstream engine(const Endpoint& endpoint, const std::string& instance)
    {
        catalog::Upstream upstream;
        upstream.endpoint = endpoint;
        upstream.instance = catalog::InstanceId(instance);
        return upstream;
    }

    void subscribe(const std::set<Endpoint>& engines)
    {
        forwarding::LoadPlan plan;
        plan.subscriptions = engines;
        links.apply(plan);
    }

    static catalog::EngineState stateOf(const Endpoint& engine)
    {
        catalog::EngineState state;
        state.engine = engine;
        state.held.push_back({ ModelName("a"), 1, {}, 0, 0 });
        return state;
    }

    void subscribeWithRelay(const std::set<Endpoint>& engines, const Endpoint& relay)
    {
        forwarding::LoadPlan plan;
        plan.subscriptions = engines;
        plan.relays = { relay };
        links.apply(plan);
    }

    quarantine::EvidenceUpdate crashOf(const std::string& server)
    {
        quarantine::EvidenceUpdate update;
        update.crashes.push_back(
            { quarantine::ServerRunId(server), control.now(), true, false, { { {}, control.now() } } });
        return update;
    }

    std::size_t evidenceSentTo(const Endpoint& agent)
    {
        std::size_t count = 0;
        for (const wire::Message& message : transport.newest(agent)->takeSent())
            count += message.body.AsCrashEvidence() ? 1 : 0;
        return count;
    }

    static fairness::UseReport useOf(double served)
    {
        fairness::UseReport report;
        report.customers[fairness::CustomerKey(7)] = { served, 0 };
        return report;
    }

    std::size_t useSentTo(const Endpoint& agent)
    {
        std::size_t count = 0;
        for (const wire::Message& message : transport.newest(agent)->takeSent())
            count += message.body.AsCustomerUse() ? 1 : 0;
        return count;
    }

    void deliver(const Endpoint& agent, const wire::Message& message)
    {
        transport.newest(agent)->deliver(message);
        control.runPosted();
    }

    void didLose(const Endpoint& engine)
    {
        if (std::exchange(throwsAtNextLoss, false))
            throw std::bad_alloc();
        lost.push_back(engine);
    }

    framework::ManualControl control;
    wire::FakeTransport transport;
    std::vector<catalog::EngineState> receivedStates;
    std::vector<catalog::EngineLoad> receivedLoads;
    std::vector<quarantine::EvidenceUpdate> receivedEvidence;
    std::vector<fairness::SummedUse> receivedUse;
    bool throwsAtNextLoss = false;
    std::vector<Endpoint> lost;
    std::vector<Endpoint> unsubscribed;
    AgentLinks links { { control, control, transport, framework::VmName("router"), 7000,
        [this](catalog::EngineState state) { receivedStates.push_back(std::move(state)); },
        [this](const catalog::EngineLoad& load) { receivedLoads.push_back(load); },
        [this](const quarantine::EvidenceUpdate& update) { receivedEvidence.push_back(update); },
        [](const std::vector<ratelimits::LimitStatement>&) {},
        [this](const fairness::SummedUse& use) { receivedUse.push_back(use); },
        [this](const Endpoint& engine) { didLose(engine); },
        [this](const Endpoint& engine) { unsubscribed.push_back(engine); }, std::make_shared<framework::Metrics>() } };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(AgentLinksTests, Fixture)

// Prevents a number of links that grows with the product of routers and engines.
BOOST_AUTO_TEST_CASE(linksAreOpenedOnlyToSubscribedEngines)
{
    BOOST_TEST(transport.connections() == 0u);
    subscribe({ first });
    BOOST_TEST(transport.connections() == 1u);
    BOOST_TEST(transport.newest(firstAgent));
    subscribe({ first });
    BOOST_TEST(transport.connections() == 1u);
}

BOOST_AUTO_TEST_CASE(aLinkIsClosedWhenItsSubscriptionEnds)
{
    subscribe({ first, second });
    deliver(firstAgent, toWire(stateOf(first)));
    subscribe({ second });
    BOOST_TEST(transport.newest(firstAgent)->isClosed());
    BOOST_TEST(!transport.newest(secondAgent)->isClosed());
    BOOST_TEST(unsubscribed == std::vector<Endpoint> { first });
    BOOST_TEST(lost.empty());
    control.advance(Milliseconds(10000));
    BOOST_TEST(transport.newest(firstAgent)->isClosed());
}

BOOST_AUTO_TEST_CASE(noLinkIsOpenedToAnUnlistedEngine)
{
    subscribe({ Endpoint("10.0.0.3:80") });
    BOOST_TEST(transport.connections() == 0u);
}

// Prevents a request from waiting for the messages of an agent that doesn't exist.
BOOST_AUTO_TEST_CASE(anUnreachableAgentIsReportedAsLost)
{
    subscribe({ first });
    transport.newest(firstAgent)->cut("connect");
    control.runPosted();
    BOOST_TEST(lost == std::vector<Endpoint> { first });
    control.advance(Milliseconds(3000));
    BOOST_TEST(transport.connections() > 1u);
}

// Prevents a router from keeping silent links for ever, and from publishing its demand no more, after one exception.
BOOST_AUTO_TEST_CASE(linksAreCheckedAfterACheckThatThrew)
{
    subscribe({ first, second });
    throwsAtNextLoss = true;
    BOOST_CHECK_THROW(control.advance(Milliseconds(3000)), std::bad_alloc);
    BOOST_TEST(lost.empty());
    control.advance(Milliseconds(3000));
    BOOST_TEST(lost.size() >= 1U);
    BOOST_TEST(transport.connections() > 2u);
}

BOOST_AUTO_TEST_CASE(statesAndLoadsAreReceived)
{
    subscribe({ first });
    deliver(firstAgent, toWire(stateOf(first)));
    catalog::EngineLoad load = catalog::loadOf(stateOf(first));
    load.running = 7;
    load.streams = 4;
    load.readingTokens = catalog::Tokens(21000);
    load.held[0] = { 0.5, 3 };
    deliver(firstAgent, toWire(load));
    BOOST_REQUIRE(receivedStates.size() == 1u);
    BOOST_REQUIRE(receivedLoads.size() == 1u);
    BOOST_TEST(receivedLoads[0].engine == first);
    BOOST_TEST(catalog::applyLoad(receivedStates[0], receivedLoads[0]));
    BOOST_TEST(receivedStates[0].running == 7u);
    BOOST_TEST(receivedStates[0].streams == 4u);
    BOOST_TEST(receivedStates[0].readingTokens.value() == 21000u);
    BOOST_TEST(receivedStates[0].held[0].inUse == 3u);
}

// Prevents a router from relying on the last state that a silent agent has published.
BOOST_AUTO_TEST_CASE(aSilentLinkIsReplaced)
{
    subscribe({ first });
    deliver(firstAgent, toWire(stateOf(first)));
    control.advance(Milliseconds(5000));
    BOOST_TEST(!lost.empty());
    BOOST_TEST(transport.connections() > 1u);
}

// Prevents a number of messages that grows with the product of routers and engines.
BOOST_AUTO_TEST_CASE(evidenceIsSentToRelaysOnly)
{
    subscribeWithRelay({ first, second }, first);
    deliver(firstAgent, toWire(stateOf(first)));
    deliver(secondAgent, toWire(stateOf(second)));
    links.share(crashOf("s1"));
    control.advance(Milliseconds(200));
    BOOST_TEST(evidenceSentTo(firstAgent) == 1u);
    BOOST_TEST(evidenceSentTo(secondAgent) == 0u);
}

// Prevents the loss of evidence when the agent that passes it on ends: its successor is sent all of it.
BOOST_AUTO_TEST_CASE(aNewRelayIsSentAllEvidence)
{
    subscribeWithRelay({ first, second }, first);
    deliver(firstAgent, toWire(stateOf(first)));
    deliver(secondAgent, toWire(stateOf(second)));
    links.share(crashOf("s1"));
    control.advance(Milliseconds(200));
    subscribeWithRelay({ first, second }, second);
    BOOST_TEST(evidenceSentTo(secondAgent) == 1u);
}

// Prevents a crash of the router: an agent becomes a relay while the link to it is lost.
BOOST_AUTO_TEST_CASE(aRelayWithoutALinkIsSentAllEvidenceLater)
{
    subscribeWithRelay({ first, second }, first);
    deliver(firstAgent, toWire(stateOf(first)));
    deliver(secondAgent, toWire(stateOf(second)));
    links.share(crashOf("s1"));
    transport.newest(secondAgent)->cut("read");
    control.runPosted();
    subscribeWithRelay({ first, second }, second);
    control.advance(Milliseconds(1000));
    BOOST_TEST(evidenceSentTo(secondAgent) == 0u);
    deliver(secondAgent, toWire(stateOf(second)));
    BOOST_TEST(evidenceSentTo(secondAgent) == 1u);
}

BOOST_AUTO_TEST_CASE(evidenceOfOthersIsPassedOnOnlyIfItDidNotComeFromARelay)
{
    subscribeWithRelay({ first, second }, first);
    deliver(firstAgent, toWire(stateOf(first)));
    deliver(secondAgent, toWire(stateOf(second)));
    deliver(firstAgent, quarantine::toWire(crashOf("s1"), control.now()));
    control.advance(Milliseconds(200));
    BOOST_TEST(receivedEvidence.size() == 1u);
    BOOST_TEST(evidenceSentTo(firstAgent) == 0u);
    deliver(secondAgent, quarantine::toWire(crashOf("s1"), control.now()));
    BOOST_TEST(receivedEvidence.size() == 1u);
    deliver(secondAgent, quarantine::toWire(crashOf("s2"), control.now()));
    control.advance(Milliseconds(200));
    BOOST_TEST(receivedEvidence.size() == 2u);
    BOOST_TEST(evidenceSentTo(firstAgent) == 1u);
}

// Prevents links from being closed by agents of an earlier version, which refuse frames that they don't know.
BOOST_AUTO_TEST_CASE(useIsReportedToRelaysAndTheirSumsAreReceived)
{
    subscribeWithRelay({ first, second }, second);
    deliver(firstAgent, toWire(stateOf(first)));
    deliver(secondAgent, toWire(stateOf(second)));
    links.reportUse(useOf(5));
    BOOST_TEST(useSentTo(firstAgent) == 0u);
    BOOST_TEST(useSentTo(secondAgent) == 1u);
    deliver(secondAgent, fairness::toWire(fairness::SummedUse { useOf(30), 6 }));
    BOOST_REQUIRE_EQUAL(receivedUse.size(), 1u);
    BOOST_TEST(receivedUse[0].routers == 6u);
    BOOST_TEST(receivedUse[0].use.customers.begin()->second.served == 30);
}

BOOST_AUTO_TEST_CASE(useIsNotReportedToAnAgentThatDoesNotUnderstandIt)
{
    subscribeWithRelay({ second }, second);
    wire::Message state = toWire(stateOf(second));
    state.body.AsEngineState()->sums_use = false;
    deliver(secondAgent, state);
    links.reportUse(useOf(5));
    BOOST_TEST(useSentTo(secondAgent) == 0u);
}

BOOST_AUTO_TEST_CASE(evidenceIsNotSentToAnAgentThatDoesNotUnderstandIt)
{
    subscribeWithRelay({ first }, first);
    wire::Message state = toWire(stateOf(first));
    state.body.AsEngineState()->takes_evidence = false;
    deliver(firstAgent, state);
    links.share(crashOf("s1"));
    control.advance(Milliseconds(200));
    BOOST_TEST(evidenceSentTo(firstAgent) == 0u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::direct
