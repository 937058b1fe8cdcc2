#include "forwarding/internal/loadrequests.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

namespace lagoon::forwarding {

namespace {

using framework::Endpoint;
using framework::Milliseconds;
using framework::ModelName;
using framework::ServiceName;
using framework::SteadyTime;

const ServiceName service("engines");
const Endpoint endpoint("10.0.0.1:80");
const ModelName chat("chat");

/// One engine of 96 slots that holds the model, and what its agent is told.
struct Fixture {
    Fixture()
    {
        configuration.services.push_back({ service, 10, catalog::EngineProfile() });
        catalog::EngineProfile& profile = *configuration.services.back().engine;
        profile.slots = 96;
        profile.models.add({ chat, catalog::MegaBytes(16000), Milliseconds(6000), Milliseconds(400), Milliseconds(300),
            catalog::MegaBytes(14), 0 });
        catalog::Upstream upstream;
        upstream.instance = catalog::InstanceId("i-1");
        upstream.endpoint = endpoint;
        upstream.service = service;
        table.setUpstreams({ upstream });
        table.setState(heldState(), now);
    }

    static catalog::EngineState heldState()
    {
        catalog::EngineState state;
        state.engine = endpoint;
        state.held.push_back({ chat, 1, {}, 0, 0 });
        return state;
    }

    /// Chats of some 700 tokens, whose answers may have up to 950, as many a second.
    void offer(int perSecond, Milliseconds lasts)
    {
        RequestFacts facts;
        facts.model = chat;
        facts.promptTokens = catalog::Tokens(700);
        facts.mostOutputTokens = catalog::Tokens(950);
        for (Milliseconds at(0); at < lasts; at += Milliseconds(1000 / perSecond)) {
            requests.didArrive(service, facts, now);
            now += Milliseconds(1000 / perSecond);
        }
        table.setState(heldState(), now);
    }

    double workTold()
    {
        requests.plan(
            configuration, [](const ServiceName&) { return std::vector<WaitingFor>(); }, {}, now);
        for (const catalog::TargetDemand& demand : told.at(endpoint)) {
            if (demand.target.model == chat)
                return demand.work;
        }
        return 0;
    }

    boost::asio::io_context context;
    UpstreamTable table { context };
    catalog::Configuration configuration;
    std::map<Endpoint, catalog::DemandList> told;
    SteadyTime now { std::chrono::hours(1) };
    LoadRequests requests { table, [this](const auto& plan) { told = plan.demand; }, now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheWorkOfAModel, Fixture)

// Twenty chats a second, each of 700 tokens and a stream of a second and a half, take a third of an engine's reading
// and thirty of its 96 slots. Counted by the most tokens that their answers may have, they had six engines, and the
// rare models that made way for the copies were loaded over and over.
BOOST_AUTO_TEST_CASE(isTheReadingOfItsPromptsAndTheSlotsThatItTakes)
{
    offer(20, Milliseconds(10000));
    BOOST_TEST(workTold() > 0.3);
    BOOST_TEST(workTold() < 0.45);
    table.ready(service).at(0)->inFlightByTarget[{ chat, {} }] = 24;
    table.ready(service).at(0)->inFlightByTarget[{ chat, framework::AdapterName("a1") }] = 24;
    BOOST_TEST(workTold() > 0.8);
    BOOST_TEST(workTold() < 0.95);
}

// Reviews of 9,300 tokens fill an engine's memory when 28 of its 64 slots are taken.
BOOST_AUTO_TEST_CASE(countsMemoryWhereThatIsScarcerThanSlots)
{
    table.ready(service).at(0)->inFlightByTarget[{ chat, {} }] = 48;
    const double bySlots = workTold();
    catalog::EngineState state = heldState();
    state.running = 48;
    state.memory = catalog::Tokens(100000);
    state.usedMemory = catalog::Tokens(96000);
    table.setState(state, now);
    BOOST_TEST(bySlots < 0.55);
    BOOST_TEST(workTold() > 0.9);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
