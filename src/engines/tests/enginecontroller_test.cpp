#include "engines/enginecontroller.h"
#include "framework/testing/manualcontrol.h"

#include <boost/test/unit_test.hpp>
#include <deque>

namespace lagoon::engines {

namespace {

using catalog::InstanceId;
using catalog::MegaBytes;
using catalog::TargetDemand;
using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::FencingToken;
using framework::ManualControl;
using framework::Milliseconds;
using framework::ModelName;
using framework::VmName;

/// An engine whose answers the test gives; reports are answered at once with `state`.
class FakeEngine final : public IEnginePort {
public:
    explicit FakeEngine(ManualControl& control)
        : control_(control)
    {
    }

    void report(Deadline, ReportHandler handler) override
    {
        ++reports;
        control_.post([this, handler = std::move(handler)] {
            if (isSilent)
                handler(Error { ErrorCode::PlatformUnavailable, "report", "engine", "silent" });
            else
                handler(state);
        });
    }

    void order(const Order& order, const OrderPreconditions& preconditions, Deadline, OrderHandler handler) override
    {
        orders.push_back({ order, preconditions });
        handlers.push_back(std::move(handler));
    }

    void answer(OrderOutcome outcome, const std::string& instance = {})
    {
        auto handler = std::move(handlers.front());
        handlers.pop_front();
        handler({ outcome, InstanceId(instance), {} });
    }

    EngineReport state;
    bool isSilent = false;
    int reports = 0;
    std::vector<std::pair<Order, OrderPreconditions>> orders;
    std::deque<OrderHandler> handlers;

private:
    ManualControl& control_;
};

class FakeFencingTokens final : public IFencingTokenSource {
public:
    void next(Deadline, Handler handler) override
    {
        ++asked;
        if (isAway)
            return handler(Error { ErrorCode::PlatformUnavailable, "fence", "store", "away" });
        handler(FencingToken(++given));
    }

    std::uint64_t given = 40;
    int asked = 0;
    bool isAway = false;
};

class FakeProfiles final : public IProfileSource {
public:
    void read(Deadline, Handler handler) override
    {
        auto configuration = std::make_shared<catalog::Configuration>();
        configuration->version = catalog::ConfigurationVersion(1);
        catalog::Service service;
        service.name = framework::ServiceName("models");
        service.engine.emplace();
        service.engine->weights = MegaBytes(100);
        service.engine->adapters = 4;
        for (const std::string name : { "a", "b" })
            service.engine->models.add({ ModelName(name), MegaBytes(60), Milliseconds(6000), Milliseconds(800),
                Milliseconds(600), MegaBytes(1), 0 });
        configuration->services.push_back(service);
        handler(std::move(configuration));
    }
};

struct Fixture {
    Fixture()
        : engine(control)
        , controller({ control, control, engine, fencingTokens, profiles, std::make_shared<framework::Metrics>(),
                         [this](const catalog::EngineState& state) { published.push_back(state); },
                         [this](const catalog::EngineLoad& load) { publishedLoads.push_back(load); } },
              { VmName("vm"), framework::ServiceName("models"), framework::Endpoint("10.0.0.1:80") })
    {
    }

    void start()
    {
        controller.start();
        control.runPosted();
    }

    void want(const std::string& model, const std::string& instance = "i-1")
    {
        TargetDemand demand;
        demand.target.model = ModelName(model);
        demand.waiting = 1;
        demand.earliest = Deadline::after(control.now(), Milliseconds(15000));
        controller.setDemand(VmName("router"), InstanceId(instance), { demand });
        control.runPosted();
    }

    void pass(Milliseconds time)
    {
        for (Milliseconds passed(0); passed < time; passed += Milliseconds(5)) {
            control.advance(Milliseconds(5));
            control.runPosted();
        }
    }

    std::size_t publications() const { return published.size() + publishedLoads.size(); }

    ManualControl control;
    FakeEngine engine;
    FakeFencingTokens fencingTokens;
    FakeProfiles profiles;
    std::vector<catalog::EngineState> published;
    std::vector<catalog::EngineLoad> publishedLoads;
    EngineController controller;
};

} // namespace

BOOST_FIXTURE_TEST_SUITE(EngineControllers, Fixture)

BOOST_AUTO_TEST_CASE(whatIsWaitedForIsOrderedWithAllThatGuardsIt)
{
    engine.state.orders = OrderCount(7);
    start();
    want("a");
    BOOST_REQUIRE(engine.orders.size() == 1U);
    const OrderPreconditions& preconditions = engine.orders[0].second;
    BOOST_TEST(preconditions.fence.value() == 41U);
    BOOST_TEST(preconditions.expected.value() == 7U);
    BOOST_TEST(preconditions.instance.value() == "i-1");
    BOOST_TEST(preconditions.holder.value() == "vm");
}

BOOST_AUTO_TEST_CASE(withoutAFenceNothingIsOrdered)
{
    fencingTokens.isAway = true;
    start();
    want("a");
    pass(Milliseconds(3000));
    BOOST_TEST(engine.orders.empty());
    BOOST_TEST(fencingTokens.asked >= 2);
    BOOST_TEST(fencingTokens.asked <= 20);
    fencingTokens.isAway = false;
    pass(Milliseconds(2500));
    want("a");
    pass(Milliseconds(100));
    BOOST_TEST(engine.orders.size() == 1U);
}

BOOST_AUTO_TEST_CASE(oneOrderAtATime)
{
    start();
    want("a");
    want("b");
    pass(Milliseconds(500));
    BOOST_TEST(engine.orders.size() == 1U);
}

// An order's answer was lost. The same order was given again, the engine carried out both, one of them ten seconds
// later after newer ones, and crashed for want of room.
BOOST_AUTO_TEST_CASE(anOrderWithoutAnswerIsGivenAgainOnTheSameCount)
{
    engine.state.orders = OrderCount(3);
    start();
    want("a");
    engine.answer(OrderOutcome::Unknown);
    pass(Milliseconds(200));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.expected.value() == 3U);
}

BOOST_AUTO_TEST_CASE(anOrderWithoutAnswerThatWasCarriedOutIsNotGivenAgain)
{
    start();
    want("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.orders = OrderCount(1);
    engine.state.isBusy = true;
    pass(Milliseconds(500));
    BOOST_TEST(engine.orders.size() == 1U);
}

// Another agent had taken over an engine. This one went on ordering with its old number, and each order was refused.
BOOST_AUTO_TEST_CASE(aFencedAgentTakesANewNumberBeforeItOrdersAgain)
{
    start();
    want("a");
    engine.answer(OrderOutcome::Fenced);
    pass(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.fence.value() == 42U);
}

// After a power loss the list named the engine's former instance for two seconds more. The agent gave it 100 orders,
// each refused by the new one.
BOOST_AUTO_TEST_CASE(anInstanceThatTheEngineDeniedIsNotTriedAgain)
{
    start();
    want("a");
    engine.answer(OrderOutcome::OtherInstance);
    want("a");
    pass(Milliseconds(1000));
    BOOST_TEST(engine.orders.size() == 1U);
    want("a", "i-2");
    pass(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.instance.value() == "i-2");
}

BOOST_AUTO_TEST_CASE(theDeniedInstancesSuccessorIsTakenFromItsAnswer)
{
    start();
    want("a");
    engine.answer(OrderOutcome::OtherInstance, "i-9");
    want("a");
    pass(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.instance.value() == "i-9");
}

BOOST_AUTO_TEST_CASE(anOldReportDecidesNothing)
{
    start();
    want("a");
    engine.answer(OrderOutcome::Accepted);
    pass(Milliseconds(10));
    engine.state.orders = OrderCount(1);
    engine.state.held.push_back({ ModelName("a"), 1, {}, 0 });
    pass(Milliseconds(100));
    engine.state.held.clear();
    engine.state.orders = OrderCount(0);
    pass(Milliseconds(300));
    BOOST_TEST(engine.orders.size() <= 2U);
}

// An engine crashed while a model was loaded and started again under its id, with its count of orders at 0. Its agent
// took the smaller count for an old report, and for 0.7 s nobody gave the empty engine an order.
BOOST_AUTO_TEST_CASE(anEngineThatStartsAgainUnderItsIdIsBegunAnewAtOnce)
{
    engine.state.started = catalog::StartTime(100);
    engine.state.orders = OrderCount(7);
    start();
    want("a");
    engine.answer(OrderOutcome::Accepted);
    engine.state.orders = OrderCount(8);
    engine.state.isBusy = true;
    pass(Milliseconds(100));
    BOOST_TEST(published.back().loading.value() == "a");
    engine.state = {};
    engine.state.started = catalog::StartTime(200);
    pass(Milliseconds(100));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[1].second.expected.value() == 0U);
    BOOST_TEST(published.back().loading.value().empty());
    BOOST_TEST(fencingTokens.asked == 1);
}

// The same, before it had carried out an order: by its count the two runs look alike.
BOOST_AUTO_TEST_CASE(routersHearOfARestartAtOnce)
{
    engine.state.started = catalog::StartTime(100);
    start();
    BOOST_REQUIRE(!published.empty());
    BOOST_CHECK(published.back().started == catalog::StartTime(100));
    pass(Milliseconds(1000));
    engine.state.started = catalog::StartTime(200);
    const std::size_t before = published.size();
    pass(Milliseconds(210));
    BOOST_REQUIRE(published.size() > before);
    BOOST_CHECK(published[before].started == catalog::StartTime(200));
}

// An order got no answer, as the engine crashed. It started again under its id, was given other models, and seconds
// later carried out the old order: its id, fence and, by then, its count were right. It had no room and crashed again.
BOOST_AUTO_TEST_CASE(afterARestartWhatTheFormerRunWasOrderedIsFenced)
{
    engine.state.started = catalog::StartTime(100);
    start();
    want("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.started = catalog::StartTime(200);
    pass(Milliseconds(200));
    BOOST_REQUIRE(engine.orders.size() == 2U);
    BOOST_TEST(engine.orders[0].second.fence.value() == 41U);
    BOOST_TEST(engine.orders[1].second.fence.value() == 42U);
}

// Long after it, an order without an answer isn't on its way any more, and a restart costs the store no call.
BOOST_AUTO_TEST_CASE(anOldOrderWithoutAnswerTakesNoNewNumber)
{
    engine.state.started = catalog::StartTime(100);
    start();
    want("a");
    engine.answer(OrderOutcome::Unknown);
    engine.state.held.push_back({ ModelName("a"), 1, {}, 0 });
    pass(Milliseconds(61000));
    engine.state.started = catalog::StartTime(200);
    pass(Milliseconds(1000));
    BOOST_TEST(fencingTokens.asked == 1);
}

BOOST_AUTO_TEST_CASE(routersHearOfChangesAtOnceAndElseEachSecond)
{
    start();
    pass(Milliseconds(5000));
    const std::size_t regular = publications();
    BOOST_TEST(regular >= 5U);
    BOOST_TEST(regular <= 8U);
    engine.state.held.push_back({ ModelName("b"), 1, {}, 0 });
    pass(Milliseconds(220));
    BOOST_TEST(published.back().find(ModelName("b")) != nullptr);
}

// Guards against control traffic that grows with the number of models and cached weights at each request.
BOOST_AUTO_TEST_CASE(aChangeOfLoadIsPublishedWithoutTheState)
{
    engine.state.held.push_back({ ModelName("b"), 1, {}, 0 });
    start();
    pass(Milliseconds(2000));
    const std::size_t states = published.size();
    engine.state.running = 12;
    engine.state.usedMemory = catalog::Tokens(50000);
    pass(Milliseconds(220));
    BOOST_TEST(published.size() == states);
    BOOST_REQUIRE(!publishedLoads.empty());
    BOOST_TEST(publishedLoads.back().running == 12u);
    BOOST_TEST(publishedLoads.back().usedMemory.value() == 50000u);
    BOOST_TEST(publishedLoads.back().held.size() == 1u);
}

// Guards against a processor that is spent on asking about a load whose end is known.
BOOST_AUTO_TEST_CASE(aLongLoadIsAskedAboutSeldomUntilItsEndIsNear)
{
    start();
    want("a");
    engine.answer(OrderOutcome::Accepted);
    engine.state.isBusy = true;
    const int before = engine.reports;
    pass(Milliseconds(4000));
    BOOST_TEST(engine.reports - before <= 25);
    pass(Milliseconds(1900));
    const int nearEnd = engine.reports;
    pass(Milliseconds(100));
    BOOST_TEST(engine.reports - nearEnd >= 3);
}

BOOST_AUTO_TEST_CASE(aSilentEngineIsNotSpokenFor)
{
    start();
    pass(Milliseconds(1000));
    engine.isSilent = true;
    const std::size_t before = publications();
    pass(Milliseconds(5000));
    BOOST_TEST(publications() == before);
    BOOST_TEST(engine.reports < 60);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::engines
