#include "framework/testing/manualcontrol.h"
#include "quotas/quotaexchange.h"
#include "quotas/quotakeeper.h"
#include "quotas/routerstandings.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <random>

namespace lagoon::quotas {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;
using framework::VmName;

const std::vector<Endpoint> keepers { Endpoint("10.0.0.1:80"), Endpoint("10.0.0.2:80"), Endpoint("10.0.0.3:80") };
constexpr Milliseconds networkDelay { 2 };
/// What operators are promised: in each window of this length no more than quota and burst, a tenth more, and the
/// tolerance.
constexpr Milliseconds window { 8000 };
constexpr double excess = 1.1;
/// Of what a customer may use, this much at least can be used while there is demand.
constexpr double minUsable = 0.95;

/// Routers and the agents that keep quotas, in simulated time.
struct Fleet {
    explicit Fleet(std::size_t routers, double toleratedExcess = 0)
        : tolerance(toleratedExcess)
    {
        for (const Endpoint& keeper : keepers)
            startAgent(keeper);
        exchanges.resize(routers);
        for (std::size_t index = 0; index < routers; ++index)
            startRouter(index);
        control.advance(Milliseconds(1000));
    }

    void startRouter(std::size_t index)
    {
        exchanges[index] = std::make_unique<QuotaExchange>(QuotaExchange::Context { control, control, metrics,
            nameOf(index),
            [this, index](const Endpoint& keeper, const wire::Message& message) { toAgent(index, keeper, message); } });
        exchanges[index]->setTolerance(tolerance);
        exchanges[index]->setRouters(static_cast<std::uint32_t>(exchanges.size()));
        exchanges[index]->setKeepers({ keepers.begin(), keepers.end() });
        for (const Endpoint& keeper : keepers)
            exchanges[index]->didOpen(keeper);
    }

    /// The router's process ends, and another one starts under its name.
    void restartRouter(std::size_t index)
    {
        for (const auto& [keeper, agent] : agents)
            agent->didClose(nameOf(index));
        startRouter(index);
    }

    static VmName nameOf(std::size_t index) { return VmName("router-" + std::to_string(index)); }

    void startAgent(const Endpoint& keeper)
    {
        agents[keeper] = std::make_unique<QuotaKeeper>(QuotaKeeper::Context { control, metrics });
    }

    bool isCut(std::size_t index, const Endpoint& keeper) const { return cuts.contains({ index, keeper }); }

    void toAgent(std::size_t index, const Endpoint& keeper, const wire::Message& message)
    {
        ++messages;
        const auto& standing = message.body.AsCustomerQuotas()->standing;
        lists += standing && !standing->is_unchanged ? 1 : 0;
        draws += message.body.AsCustomerQuotas()->asked.size();
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay + Milliseconds(jitter > 0 ? random() % jitter : 0), [this, index, keeper, sent] {
            const auto agent = agents.find(keeper);
            if (agent == agents.end() || isCut(index, keeper) || frozen.contains(keeper))
                return;
            const auto answer = agent->second->receive(nameOf(index), *sent->body.AsCustomerQuotas());
            if (answer)
                toRouter(keeper, index, *answer);
        });
    }

    void toRouter(const Endpoint& keeper, std::size_t index, const wire::Message& message)
    {
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay, [this, keeper, index, sent] {
            if (!isCut(index, keeper))
                exchanges[index]->receive(keeper, *sent->body.AsCustomerQuotas());
        });
    }

    void later(Milliseconds delay, std::function<void()> action)
    {
        std::erase_if(timers, [this](const auto& timer) { return timer.first < control.now(); });
        timers.emplace_back(
            control.now() + delay, control.runAt(Deadline::after(control.now(), delay), std::move(action)));
    }

    /// The agent's process ends, and its state is lost.
    void stopAgent(const Endpoint& keeper)
    {
        agents.erase(keeper);
        for (const auto& exchange : exchanges)
            exchange->didClose(keeper);
    }

    /// Nothing passes between the router and the agent. Both notice by its silence.
    void cut(std::size_t index, const Endpoint& keeper)
    {
        cuts.insert({ index, keeper });
        later(Milliseconds(2400), [this, index, keeper] {
            if (isCut(index, keeper))
                exchanges[index]->didClose(keeper);
        });
        later(Milliseconds(3500), [this, index, keeper] {
            if (isCut(index, keeper) && agents.contains(keeper))
                agents[keeper]->didClose(nameOf(index));
        });
    }

    void heal(std::size_t index, const Endpoint& keeper)
    {
        cuts.erase({ index, keeper });
        exchanges[index]->didOpen(keeper);
    }

    QuotaDraw drawOf(const std::string& customer, double cost) const
    {
        QuotaDraw draw;
        draw.customer = catalog::CustomerName(customer);
        draw.quota.perSecond = perSecond;
        draw.quota.burst = burst;
        draw.version = catalog::ConfigurationVersion(version);
        draw.cost = cost;
        draw.neededBy = Deadline::after(control.now(), neededWithin);
        return draw;
    }

    /// Asks at a router for a request's part; what is granted is used at once.
    DrawNumber ask(std::size_t index, double cost, const std::string& customer = "one")
    {
        const DrawNumber number(++numbers);
        asked[customer] += cost;
        exchanges[index]->draw(number, drawOf(customer, cost), [this, cost, customer](const DrawReply& reply) {
            ++outcomes[reply.outcome];
            if (reply.outcome == DrawOutcome::Granted)
                uses[customer].push_back({ control.now(), cost });
            else
                retryAfters.push_back(reply.retryAfter);
        });
        return number;
    }

    /// Requests of this cost come at routers that `choose` names, one each `pause`.
    template <typename Choose>
    void run(Milliseconds duration, Milliseconds pause, double cost, Choose choose, const std::string& customer = "one")
    {
        const SteadyTime end = control.now() + duration;
        while (control.now() < end) {
            ask(choose(), cost, customer);
            control.advance(pause);
        }
    }

    std::size_t anyRouter() { return random() % exchanges.size(); }

    double used(SteadyTime since, const std::string& customer = "one") const
    {
        double sum = 0;
        for (const auto& [at, cost] : uses.contains(customer) ? uses.at(customer) : Uses()) {
            if (at >= since)
                sum += cost;
        }
        return sum;
    }

    double mostInWindow(const std::string& customer = "one") const
    {
        double most = 0;
        double sum = 0;
        const Uses& all = uses.at(customer);
        auto first = all.begin();
        for (const auto& [at, cost] : all) {
            sum += cost;
            while (at - first->first > window)
                sum -= (first++)->second;
            most = std::max(most, sum);
        }
        return most;
    }

    void flood(Milliseconds duration, double cost = 3000)
    {
        run(duration, Milliseconds(25), cost, [this] { return anyRouter(); });
    }

    double bound() const { return (perSecond * 8 + burst) * excess + tolerance; }

    using Uses = std::vector<std::pair<SteadyTime, double>>;

    framework::ManualControl control;
    framework::Metrics metrics;
    std::mt19937 random { 7 };
    double tolerance;
    double perSecond = 30000;
    double burst = 30000;
    Milliseconds neededWithin { 1000 };
    std::uint64_t version = 1;
    /// Messages to agents are delayed by up to this many milliseconds more.
    std::uint64_t jitter = 0;
    std::uint64_t numbers = 0;
    std::uint64_t messages = 0;
    /// How often a keeper was asked for a draw.
    std::uint64_t draws = 0;
    /// How often a keeper was told a router's list of keepers.
    std::uint64_t lists = 0;
    std::map<Endpoint, std::unique_ptr<QuotaKeeper>> agents;
    std::set<std::pair<std::size_t, Endpoint>> cuts;
    std::set<Endpoint> frozen;
    std::vector<std::unique_ptr<QuotaExchange>> exchanges;
    std::vector<std::pair<SteadyTime, std::unique_ptr<framework::Timer>>> timers;
    std::map<std::string, Uses> uses;
    std::map<std::string, double> asked;
    std::map<DrawOutcome, std::size_t> outcomes;
    std::vector<Milliseconds> retryAfters;
};

/// The keeper that all routers ask for the customer.
Endpoint keeperOfOne() { return *keeperOf(catalog::CustomerName("one"), keepers); }

} // namespace

BOOST_AUTO_TEST_SUITE(QuotasOverAllRouters)

/// Answers the load of one customer that sends several times what it may, at routers of very different traffic.
BOOST_AUTO_TEST_CASE(theQuotaHoldsAndIsUsableHoweverUnevenlyRequestsCome)
{
    for (const std::size_t routers : { 6, 370 }) {
        Fleet fleet(routers);
        const SteadyTime from = fleet.control.now();
        fleet.run(Milliseconds(30000), Milliseconds(25), 3000,
            [&] { return fleet.random() % 3 == 0 ? fleet.anyRouter() : std::size_t(0); });
        BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
        BOOST_TEST(fleet.used(from) >= minUsable * fleet.perSecond * 30);
        BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 0U);
    }
}

BOOST_AUTO_TEST_CASE(aCustomerBelowItsQuotaIsNeverDenied)
{
    Fleet fleet(24);
    // Three requests a second may come; two do, beside another customer's flood.
    for (int second = 0; second < 20; ++second) {
        fleet.ask(fleet.anyRouter(), 9000, "small");
        fleet.run(
            Milliseconds(500), Milliseconds(20), 9000, [&] { return fleet.anyRouter(); }, "flood");
        fleet.ask(fleet.anyRouter(), 9000, "small");
        fleet.run(
            Milliseconds(500), Milliseconds(20), 9000, [&] { return fleet.anyRouter(); }, "flood");
    }
    BOOST_TEST(fleet.used({}, "small") == 40 * 9000.0);
    BOOST_TEST(fleet.mostInWindow("flood") <= fleet.bound());
}

/// Guards against a second allowance while routers go from a keeper whose process has ended to the next.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperEnds)
{
    Fleet fleet(24);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    const SteadyTime endedAt = fleet.control.now();
    fleet.stopAgent(keeperOfOne());
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(endedAt) >= minUsable * fleet.perSecond * 10);
}

/// Guards against a keeper that stands still: requests that wait for its answer are lost to their callers, and it
/// must not grant beside its successor when it wakes.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperStandsStillAndWakes)
{
    Fleet fleet(24);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    const SteadyTime frozenAt = fleet.control.now();
    fleet.frozen.insert(keeperOfOne());
    fleet.run(Milliseconds(6000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.used(frozenAt) >= 0.8 * fleet.perSecond * 6);
    fleet.frozen.clear();
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against routers that are cut off from the keeper and use another one beside it.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersAreCutOffFromTheirKeeper)
{
    Fleet fleet(24);
    fleet.run(Milliseconds(5000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < 8; ++index)
        fleet.cut(index, keeperOfOne());
    fleet.run(Milliseconds(30000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    for (std::size_t index = 0; index < 8; ++index)
        fleet.heal(index, keeperOfOne());
    fleet.run(Milliseconds(15000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against routers without any keeper that go on without a limit, and against keepers that forget about them.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersAreCutOffFromAllKeepers)
{
    Fleet fleet(24);
    fleet.run(Milliseconds(5000), Milliseconds(25), 1000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < 12; ++index) {
        for (const Endpoint& keeper : keepers)
            fleet.cut(index, keeper);
    }
    const SteadyTime cutAt = fleet.control.now();
    fleet.run(Milliseconds(40000), Milliseconds(10), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(cutAt) >= 0.9 * fleet.perSecond * 40);
    fleet.run(Milliseconds(60000), Milliseconds(10), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against a second burst at a keeper that others stood in for.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenRoutersReturnToTheirKeeper)
{
    Fleet fleet(24);
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(2000));
    fleet.frozen.insert(keeperOfOne());
    fleet.flood(Milliseconds(2000));
    fleet.control.advance(Milliseconds(30000));
    fleet.flood(Milliseconds(3000));
    fleet.frozen.clear();
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against keepers that each begin with much of a burst that the one before has just granted.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenTheKeeperOfALargeBurstEnds)
{
    Fleet fleet(24);
    fleet.burst = 10 * fleet.perSecond;
    fleet.flood(Milliseconds(500));
    fleet.control.advance(Milliseconds(30000));
    fleet.run(Milliseconds(3000), Milliseconds(5), 3000, [&] { return fleet.anyRouter(); });
    fleet.stopAgent(keeperOfOne());
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against agents that have just started and take the few routers they have heard for all.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersComeBackToRestartedKeepers)
{
    Fleet fleet(24);
    fleet.flood(Milliseconds(10000));
    for (const Endpoint& keeper : keepers)
        fleet.stopAgent(keeper);
    for (const Endpoint& keeper : keepers)
        fleet.startAgent(keeper);
    for (const auto& exchange : fleet.exchanges)
        exchange->setRouters(24);
    fleet.control.advance(Milliseconds(500));
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
        fleet.exchanges[index]->setRouters(8);
        fleet.exchanges[index]->didOpen(keepers[index % keepers.size()]);
    }
    fleet.flood(Milliseconds(3000));
    for (const auto& exchange : fleet.exchanges) {
        exchange->setRouters(24);
        for (const Endpoint& keeper : keepers)
            exchange->didOpen(keeper);
    }
    fleet.flood(Milliseconds(8000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against a keeper that counts routers whose list no longer has it.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileTheListOfKeepersChanges)
{
    Fleet fleet(24);
    fleet.burst = fleet.perSecond / 10;
    fleet.flood(Milliseconds(10000));
    const SteadyTime from = fleet.control.now();
    std::set<Endpoint> others(keepers.begin(), keepers.end());
    others.erase(keeperOfOne());
    // Routers learn of the change at different times, and all keep their links to the agent. Most requests come to the
    // first and the last one.
    const auto firstOrLast = [&] { return fleet.random() % 2 == 0 ? 0 : fleet.exchanges.size() - 1; };
    for (const auto& exchange : fleet.exchanges) {
        exchange->setKeepers(others);
        fleet.run(Milliseconds(150), Milliseconds(10), 1000, firstOrLast);
    }
    const auto passed = std::chrono::duration<double>(fleet.control.now() - from).count();
    BOOST_TEST(fleet.used(from) <= (fleet.perSecond * passed + fleet.burst) * excess);
}

/// Guards against own shares that fill up while the router has keepers.
BOOST_AUTO_TEST_CASE(ownSharesBeginAnewWithEachCut)
{
    Fleet fleet(24);
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(2000));
    const auto cutAll = [&] {
        for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
            for (const Endpoint& keeper : keepers)
                fleet.cut(index, keeper);
        }
    };
    cutAll();
    fleet.run(Milliseconds(8000), Milliseconds(8), 1000, [&] { return fleet.anyRouter(); });
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index) {
        for (const Endpoint& keeper : keepers)
            fleet.heal(index, keeper);
    }
    fleet.control.advance(Milliseconds(30000));
    fleet.flood(Milliseconds(3000));
    cutAll();
    fleet.run(Milliseconds(10000), Milliseconds(4), 1000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

/// Guards against callers that are told that their customer is over its quota because the router is cut off from the
/// keeper of nearly all of it.
BOOST_AUTO_TEST_CASE(aPartOfTheQuotaDeniesNobodyForTheWhole)
{
    Fleet fleet(24);
    fleet.cut(0, keeperOfOne());
    fleet.control.advance(Milliseconds(5000));
    for (int round = 0; round < 10; ++round) {
        fleet.ask(0, 9000);
        fleet.control.advance(Milliseconds(1000));
    }
    BOOST_TEST(fleet.outcomes[DrawOutcome::OverQuota] == 0U);
    BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 10U);
}

/// Guards against a metric for each of thousands of customers.
BOOST_AUTO_TEST_CASE(drawsAreCountedByABoundedNumberOfCustomers)
{
    Fleet fleet(1);
    for (int customer = 0; customer < 1000; ++customer)
        fleet.ask(0, 1, "c" + std::to_string(customer));
    fleet.control.advance(Milliseconds(100));
    const std::string text = fleet.metrics.text();
    std::size_t lines = 0;
    for (auto at = text.find("lagoon_customer_draws_total{"); at != std::string::npos;
         at = text.find("lagoon_customer_draws_total{", at + 1))
        ++lines;
    BOOST_TEST(lines == 65U);
    BOOST_TEST(text.find("customer=\"other\"") != std::string::npos);
}

// Prevents each agent that comes in place of another one from granting a part of the burst and of the tolerance anew.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenKeepersEndOneAfterTheOther)
{
    Fleet fleet(6, 30000);
    for (int round = 0; round < 12; ++round) {
        fleet.run(Milliseconds(1000), Milliseconds(2), 240, [&] { return fleet.anyRouter(); });
        const Endpoint& keeper = keepers[static_cast<std::size_t>(round) % keepers.size()];
        fleet.stopAgent(keeper);
        fleet.run(Milliseconds(200), Milliseconds(2), 240, [&] { return fleet.anyRouter(); });
        fleet.startAgent(keeper);
        for (const auto& exchange : fleet.exchanges)
            exchange->didOpen(keeper);
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents quotas from being exceeded by what keepers that end many times within one window grant anew.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenKeepersEndManyTimesInAWindow)
{
    Fleet fleet(3, 12);
    fleet.perSecond = 8;
    fleet.burst = 8;
    fleet.flood(Milliseconds(12000), 1);
    const SteadyTime from = fleet.control.now();
    for (int round = 0; round < 20; ++round) {
        fleet.stopAgent(keeperOfOne());
        fleet.flood(Milliseconds(200), 1);
        fleet.startAgent(keeperOfOne());
        for (const auto& exchange : fleet.exchanges)
            exchange->didOpen(keeperOfOne());
        fleet.flood(Milliseconds(600), 1);
    }
    const double passed = std::chrono::duration<double>(fleet.control.now() - from).count();
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
    BOOST_TEST(fleet.used(from) >= minUsable * fleet.perSecond * passed);
}

// Prevents what another keeper granted from being forgotten because a router's messages are delayed differently.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenRoutersComeAndGoWithVaryingDelays)
{
    Fleet fleet(6);
    fleet.jitter = 8;
    fleet.burst = 4 * fleet.perSecond;
    fleet.flood(Milliseconds(12000));
    for (int round = 0; round < 12; ++round) {
        fleet.frozen.insert(keeperOfOne());
        fleet.flood(Milliseconds(1200));
        fleet.frozen.clear();
        fleet.flood(Milliseconds(300));
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a large burst that was just used from being granted again when all keepers and routers restart.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhenAllProcessesRestart)
{
    Fleet fleet(6);
    fleet.burst = 10 * fleet.perSecond;
    fleet.control.advance(RecentUse::retention);
    fleet.run(Milliseconds(3000), Milliseconds(5), 3000, [&] { return fleet.anyRouter(); });
    for (const Endpoint& keeper : keepers)
        fleet.stopAgent(keeper);
    for (const Endpoint& keeper : keepers)
        fleet.startAgent(keeper);
    for (std::size_t index = 0; index < fleet.exchanges.size(); ++index)
        fleet.restartRouter(index);
    fleet.flood(Milliseconds(10000));
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a customer that asks for little from being refused because a keeper that takes over doesn't know how little.
BOOST_AUTO_TEST_CASE(aKeeperThatTakesOverGrantsTheBurstThatIsLeft)
{
    Fleet fleet(24);
    fleet.control.advance(RecentUse::retention);
    fleet.ask(0, 3000);
    fleet.control.advance(Milliseconds(100));
    fleet.stopAgent(keeperOfOne());
    fleet.control.advance(Milliseconds(100));
    for (int request = 0; request < 9; ++request)
        fleet.ask(fleet.anyRouter(), 3000);
    fleet.control.advance(Milliseconds(100));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 10U);
}

// Prevents a router that restarts beside its keeper from making the customer's uses forgotten.
BOOST_AUTO_TEST_CASE(theQuotaHoldsWhileRoutersRestart)
{
    Fleet fleet(3);
    fleet.flood(Milliseconds(12000));
    for (int round = 0; round < 20; ++round) {
        fleet.restartRouter(static_cast<std::size_t>(round) % fleet.exchanges.size());
        fleet.flood(Milliseconds(700));
    }
    BOOST_TEST(fleet.mostInWindow() <= fleet.bound());
}

// Prevents a request far below the quota from being refused because another agent becomes its keeper before the draw
// is sent.
BOOST_AUTO_TEST_CASE(aDrawIsNotDeniedBecauseItsKeeperChanges)
{
    Fleet fleet(2);
    fleet.exchanges[0]->didClose(keeperOfOne());
    fleet.ask(0, 1);
    fleet.exchanges[0]->didOpen(keeperOfOne());
    fleet.control.advance(Milliseconds(500));
    BOOST_TEST(fleet.outcomes[DrawOutcome::OverQuota] == 0U);
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
}

BOOST_AUTO_TEST_CASE(aRouterThatNeverHadAKeeperDecidesNothing)
{
    Fleet fleet(2);
    QuotaExchange alone(
        { fleet.control, fleet.control, fleet.metrics, VmName("new"), [](const Endpoint&, const wire::Message&) {} });
    alone.setKeepers({ keepers.begin(), keepers.end() });
    std::optional<DrawReply> got;
    alone.draw(DrawNumber(1), fleet.drawOf("one", 1), [&](const DrawReply& reply) { got = reply; });
    fleet.control.advance(Milliseconds(500));
    BOOST_TEST(!got.has_value());
    fleet.control.advance(Milliseconds(500));
    BOOST_REQUIRE(got.has_value());
    const bool isUndecided = got->outcome == DrawOutcome::Undecided;
    BOOST_TEST(isUndecided);
}

/// Guards against customers below their quotas that are refused because all processes are slow for a moment.
BOOST_AUTO_TEST_CASE(aDrawWaitsForKeepersThatAreSlow)
{
    Fleet fleet(6);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(800));
    fleet.frozen.clear();
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
}

// Prevents a customer below its quota from being refused although its caller has time until the keepers answer again.
BOOST_AUTO_TEST_CASE(aDrawWaitsForSlowKeepersAsLongAsItsCallerCan)
{
    Fleet fleet(6);
    fleet.neededWithin = Milliseconds(8000);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(3000));
    fleet.frozen.clear();
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
    fleet.frozen.insert(keepers.begin(), keepers.end());
    fleet.ask(0, 1000);
    fleet.control.advance(Milliseconds(4500));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Undecided] == 1U);
}

BOOST_AUTO_TEST_CASE(aNewVersionOfTheQuotaCountsOnceAnyRouterKnowsIt)
{
    Fleet fleet(6);
    fleet.run(Milliseconds(10000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    fleet.perSecond = 6000;
    fleet.burst = 6000;
    fleet.version = 2;
    const SteadyTime from = fleet.control.now();
    fleet.run(Milliseconds(20000), Milliseconds(25), 3000, [&] { return fleet.anyRouter(); });
    BOOST_TEST(fleet.used(from) <= 6000 * 20 + 6000 + 3000);
    BOOST_TEST(fleet.used(from) >= minUsable * 6000 * 20);
}

/// Guards against a customer that pays for requests that were refused for another reason.
BOOST_AUTO_TEST_CASE(whatHasNotRunIsGivenBack)
{
    Fleet fleet(6);
    const std::size_t rounds = 200;
    std::size_t granted = 0;
    for (std::size_t round = 0; round < rounds; ++round) {
        const std::size_t index = fleet.anyRouter();
        const DrawNumber number(1000000 + round);
        fleet.exchanges[index]->draw(number, fleet.drawOf("one", 3000),
            [&](const DrawReply& reply) { granted += reply.outcome == DrawOutcome::Granted ? 1 : 0; });
        fleet.control.advance(Milliseconds(10));
        fleet.exchanges[index]->giveBack(fleet.drawOf("one", 3000));
        fleet.control.advance(Milliseconds(10));
    }
    BOOST_TEST(granted == rounds);
}

/// Guards against a draw that stays used although its caller left before the answer came.
BOOST_AUTO_TEST_CASE(aWithdrawnDrawIsGivenBack)
{
    Fleet fleet(6);
    for (int round = 0; round < 200; ++round) {
        const std::size_t index = fleet.anyRouter();
        const DrawNumber number = fleet.ask(index, 3000);
        fleet.exchanges[index]->withdraw(number);
        fleet.control.advance(Milliseconds(20));
    }
    BOOST_TEST(fleet.uses.empty());
    fleet.ask(0, 15000);
    fleet.control.advance(Milliseconds(20));
    BOOST_TEST(fleet.used({}) == 15000);
}

/// Guards against draws that nobody waits for and that go from keeper to keeper.
BOOST_AUTO_TEST_CASE(aWithdrawnDrawIsNotAskedAgain)
{
    Fleet fleet(6);
    fleet.frozen.insert(keeperOfOne());
    fleet.exchanges[0]->withdraw(fleet.ask(0, 3000));
    fleet.control.advance(Milliseconds(2000));
    BOOST_TEST(fleet.draws == 1U);
}

/// Guards against lists of keepers that each router sends to each keeper all the time.
BOOST_AUTO_TEST_CASE(anUnchangedListOfKeepersIsNotSentAgain)
{
    Fleet fleet(6);
    fleet.lists = 0;
    fleet.control.advance(Milliseconds(10000));
    BOOST_TEST(fleet.lists == 0U);
    fleet.ask(0, 3000);
    fleet.control.advance(Milliseconds(20));
    BOOST_TEST(fleet.outcomes[DrawOutcome::Granted] == 1U);
    fleet.stopAgent(keeperOfOne());
    fleet.control.advance(Milliseconds(1000));
    BOOST_TEST(fleet.lists == 6 * (keepers.size() - 1));
}

BOOST_AUTO_TEST_CASE(withoutQuotasNothingIsSent)
{
    Fleet fleet(2);
    for (const auto& exchange : fleet.exchanges)
        exchange->setKeepers({});
    fleet.control.advance(Milliseconds(100));
    const std::uint64_t before = fleet.messages;
    fleet.control.advance(Milliseconds(10000));
    BOOST_TEST(fleet.messages == before);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::quotas
