#include "forwarding/internal/demandpublisher.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>

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

/// One engine with 96 slots that has the model loaded, and the demand that is published to its agent.
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
        table.setState(loadedState(), now);
        publisher.setConfiguration(std::make_shared<catalog::Configuration>(configuration));
    }

    static catalog::EngineState loadedState()
    {
        catalog::EngineState state;
        state.engine = endpoint;
        state.held.push_back({ chat, 1, {}, 0, 0 });
        return state;
    }

    /// Sends chat requests with 700 prompt tokens, whose answers may have up to 950 tokens, at this rate.
    void sendChats(int perSecond, Milliseconds lasts)
    {
        RequestFacts facts;
        facts.model = chat;
        facts.promptTokens = catalog::Tokens(700);
        facts.maxOutputTokens = catalog::Tokens(950);
        for (Milliseconds at(0); at < lasts; at += Milliseconds(1000 / perSecond)) {
            publisher.didArrive(service, facts, now);
            now += Milliseconds(1000 / perSecond);
        }
        table.setState(loadedState(), now);
    }

    double publishedWork()
    {
        publisher.plan(
            configuration, [](const ServiceName&) { return std::vector<WaitingRequests>(); }, {}, {}, now);
        for (const catalog::TargetDemand& demand : published.at(endpoint)) {
            if (demand.target.model == chat)
                return demand.work;
        }
        return 0;
    }

    boost::asio::io_context context;
    UpstreamTable table { context };
    catalog::Configuration configuration;
    std::map<Endpoint, catalog::DemandList> published;
    SteadyTime now { std::chrono::hours(1) };
    DemandPublisher publisher { table, [this](const auto& plan) { published = plan.demand; }, now };
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(TheWorkOfAModel, Fixture)

// Prevents the work of a model from being overestimated: 20 chat requests per second, each with 700 prompt tokens and a
// stream of 1.5 s, take a third of an engine's prompt processing and 30 of its 96 slots. Estimated by the maximum
// tokens of their answers they got six engines, and the rare models that were evicted for the copies were loaded over
// and over.
BOOST_AUTO_TEST_CASE(isThePromptProcessingAndTheSlotsInUse)
{
    sendChats(20, Milliseconds(10000));
    BOOST_TEST(publishedWork() > 0.3);
    BOOST_TEST(publishedWork() < 0.45);
    table.ready(service).at(0)->inFlightByTarget[{ chat, {} }] = 24;
    table.ready(service).at(0)->inFlightByTarget[{ chat, framework::AdapterName("a1") }] = 24;
    BOOST_TEST(publishedWork() > 0.8);
    BOOST_TEST(publishedWork() < 0.95);
}

// Review requests of 9,300 tokens fill an engine's memory when 28 of its 64 slots are in use.
BOOST_AUTO_TEST_CASE(countsMemoryIfItIsScarcerThanSlots)
{
    table.ready(service).at(0)->inFlightByTarget[{ chat, {} }] = 48;
    const double bySlots = publishedWork();
    catalog::EngineState state = loadedState();
    state.running = 48;
    state.memory = catalog::Tokens(100000);
    state.usedMemory = catalog::Tokens(96000);
    table.setState(state, now);
    BOOST_TEST(bySlots < 0.55);
    BOOST_TEST(publishedWork() > 0.9);
}

// Prevents callers from using up the memory by naming a model of their own in each request.
BOOST_AUTO_TEST_CASE(countsNoModelsThatDoNotExist)
{
    sendChats(20, Milliseconds(1000));
    for (int number = 0; number < 1000; ++number) {
        RequestFacts facts;
        facts.model = ModelName("unknown-" + std::to_string(number));
        publisher.didArrive(service, facts, now);
        WaitingRequests waiting;
        waiting.target.model = facts.model;
        publisher.expectRetry(service, waiting, framework::Deadline::after(now, Milliseconds(1000)));
    }
    BOOST_TEST(publisher.trackedModels() == 1u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::forwarding
