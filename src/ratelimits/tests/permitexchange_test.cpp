#include "framework/testing/manualcontrol.h"
#include "ratelimits/permitexchange.h"
#include "ratelimits/permitkeeper.h"

#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>

namespace lagoon::ratelimits {

namespace {

using framework::Deadline;
using framework::Endpoint;
using framework::Milliseconds;
using framework::SteadyTime;

const ServerRunKey server("i-1@1");
const Endpoint engine("10.0.0.1:80");
const Endpoint otherEngine("10.0.0.2:80");
const Endpoint plainServer("10.0.1.1:80");
constexpr Milliseconds networkDelay { 2 };
/// What servers in need are promised: in each window of this length at most one and a half times what the limit allows,
/// and a few requests more.
constexpr Milliseconds window { 4000 };
constexpr double excess = 1.5;
constexpr int slack = 5;

/// Routers and the agents of two engines, in simulated time.
struct Routers {
    explicit Routers(std::size_t count)
    {
        for (const Endpoint& keeper : { engine, otherEngine })
            startAgent(keeper);
        for (std::size_t index = 0; index < count; ++index) {
            exchanges.push_back(std::make_unique<PermitExchange>(PermitExchange::Context { control, control, metrics,
                [this, index](
                    const Endpoint& keeper, const wire::Message& message) { toAgent(index, keeper, message); },
                [](const std::vector<LimitStatement>&) {} }));
            exchanges.back()->setEngines({ engine, otherEngine });
            exchanges.back()->setCommonKeepers({ engine, otherEngine });
            open(index);
        }
    }

    void open(std::size_t index)
    {
        for (const auto& [keeper, agent] : agents)
            exchanges[index]->didOpen(keeper);
    }

    void startAgent(const Endpoint& keeper)
    {
        agents[keeper] = std::make_unique<PermitKeeper>(PermitKeeper::Context { control, control, metrics,
            [this, keeper](PermitClient client, const wire::Message& message) { toRouter(keeper, client, message); },
            [](const wire::Message&) {} });
    }

    /// All routers lose their links to the agent, and its state is lost.
    void stopAgent(const Endpoint& keeper)
    {
        agents.erase(keeper);
        for (const auto& exchange : exchanges)
            exchange->didClose(keeper);
    }

    void toAgent(std::size_t index, const Endpoint& keeper, const wire::Message& message)
    {
        ++messages;
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay, [this, index, keeper, sent] {
            const auto agent = agents.find(keeper);
            if (agent != agents.end())
                agent->second->receive(PermitClient(index), *sent->body.AsServerPermits());
        });
    }

    void toRouter(const Endpoint& keeper, PermitClient client, const wire::Message& message)
    {
        ++messages;
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay + extraDelay, [this, keeper, client, sent] {
            exchanges.at(client.value())->receive(keeper, *sent->body.AsServerPermits());
        });
    }

    void later(Milliseconds delay, std::function<void()> action)
    {
        std::erase_if(timers, [this](const auto& timer) { return timer.first < control.now(); });
        timers.emplace_back(
            control.now() + delay, control.runAt(Deadline::after(control.now(), delay), std::move(action)));
    }

    LimitStatement limit(double rate) const { return { server, RequestRate(rate), control.now(), control.now() }; }

    /// Asks for a permit at a router; a permit that is granted is used at once.
    PermitNumber ask(std::size_t index, double rate, Milliseconds patience, const Endpoint& endpoint = engine)
    {
        const PermitNumber number(++numbers);
        const PermitOrder order { number, limit(rate), RequestRate(rate), endpoint, 1,
            Deadline::after(control.now(), patience), static_cast<std::uint32_t>(exchanges.size()) };
        exchanges[index]->ask(order, [this](const PermitReply& reply) {
            if (reply.isGranted)
                sends.push_back(control.now());
            else
                denials.push_back(reply.retryAfter);
        });
        return number;
    }

    /// Requests come at random routers for this time, one each `pause`.
    void run(Milliseconds duration, Milliseconds pause, double rate, Milliseconds patience,
        const Endpoint& endpoint = engine)
    {
        const SteadyTime end = control.now() + duration;
        while (control.now() < end) {
            ask(random() % exchanges.size(), rate, patience, endpoint);
            control.advance(pause);
        }
    }

    int mostInWindow() const
    {
        std::size_t most = 0;
        for (auto first = sends.begin(); first != sends.end(); ++first)
            most = std::max<std::size_t>(
                most, static_cast<std::size_t>(std::lower_bound(first, sends.end(), *first + window) - first));
        return static_cast<int>(most);
    }

    static int allowedInWindow(double rate)
    {
        return static_cast<int>(rate * excess * std::chrono::duration<double>(window).count()) + slack;
    }

    framework::ManualControl control;
    framework::Metrics metrics;
    std::map<Endpoint, std::unique_ptr<PermitKeeper>> agents;
    std::vector<std::unique_ptr<PermitExchange>> exchanges;
    std::vector<std::pair<SteadyTime, std::unique_ptr<framework::Timer>>> timers;
    std::vector<SteadyTime> sends;
    std::vector<Milliseconds> denials;
    std::uint64_t numbers = 0;
    std::size_t messages = 0;
    Milliseconds extraDelay { 0 };
    std::mt19937 random { 41 };
};

} // namespace

BOOST_AUTO_TEST_SUITE(PermitExchangeCases)

// Prevents a limit of one request a second from becoming one request at each of many routers.
BOOST_AUTO_TEST_CASE(manyRoutersShareOneAllowance)
{
    Routers routers(370);
    routers.run(Milliseconds(30000), Milliseconds(5), 1, Milliseconds(0));
    BOOST_TEST(routers.mostInWindow() <= 5);
    BOOST_TEST(routers.sends.size() >= 24u);
}

// Prevents a limit from being used only in part while requests wait for it.
BOOST_AUTO_TEST_CASE(theAllowanceIsUsedWhileThereIsDemand)
{
    for (const double rate : { 0.4, 1.0, 7.0, 50.0 }) {
        Routers routers(20);
        routers.run(Milliseconds(30000), Milliseconds(5), rate, Milliseconds(5000));
        BOOST_TEST(static_cast<double>(routers.sends.size()) >= 0.8 * rate * 30, rate);
        BOOST_TEST(static_cast<double>(routers.sends.size()) <= 1.05 * rate * 30 + 1, rate);
        BOOST_TEST(routers.mostInWindow() <= Routers::allowedInWindow(rate), rate);
    }
}

// Prevents servers without an agent beside them from getting a full allowance from each of several agents.
BOOST_AUTO_TEST_CASE(aServerWithoutAnAgentHasOneKeeper)
{
    Routers routers(50);
    routers.run(Milliseconds(20000), Milliseconds(5), 2, Milliseconds(1000), plainServer);
    BOOST_TEST(routers.mostInWindow() <= 10);
    BOOST_TEST(routers.sends.size() >= 32u);
}

// Prevents the limit from being exceeded, and the server from being given up, while nobody can grant its permits.
BOOST_AUTO_TEST_CASE(withoutTheKeeperRoutersKeepToASmallShare)
{
    for (const std::size_t count : { 5U, 50U, 370U }) {
        Routers routers(count);
        routers.run(Milliseconds(5000), Milliseconds(5), 1, Milliseconds(2000));
        routers.stopAgent(engine);
        const std::size_t before = routers.sends.size();
        routers.run(Milliseconds(120000), Milliseconds(20), 1, Milliseconds(15000));
        BOOST_TEST(routers.mostInWindow() <= Routers::allowedInWindow(1), count);
        BOOST_TEST(routers.sends.size() > before, count);
        BOOST_TEST(static_cast<double>(routers.sends.size() - before) <= 0.3 * 120, count);
    }
}

// Prevents a burst when the keeper is started anew again and again, since it knows nothing of what it granted.
BOOST_AUTO_TEST_CASE(aRestartedKeeperDoesNotGrantTheAllowanceTwice)
{
    Routers routers(20);
    for (int restart = 0; restart < 20; ++restart) {
        routers.run(Milliseconds(1500), Milliseconds(5), 1, Milliseconds(3000));
        routers.stopAgent(engine);
        routers.startAgent(engine);
        for (std::size_t index = 0; index < routers.exchanges.size(); ++index)
            routers.open(index);
    }
    BOOST_TEST(routers.mostInWindow() <= Routers::allowedInWindow(1));
    BOOST_TEST(routers.sends.size() >= 15u);
}

// Prevents requests that wait for their turn from being lost with the link to the keeper.
BOOST_AUTO_TEST_CASE(waitingRequestsAreAskedForAgain)
{
    Routers routers(3);
    for (std::size_t index = 0; index < 3; ++index)
        routers.ask(index, 1, Milliseconds(20000));
    routers.control.advance(Milliseconds(100));
    routers.stopAgent(engine);
    routers.control.advance(Milliseconds(500));
    routers.startAgent(engine);
    for (std::size_t index = 0; index < 3; ++index)
        routers.open(index);
    routers.control.advance(Milliseconds(10000));
    BOOST_TEST(routers.sends.size() + routers.denials.size() == 3u);
    BOOST_TEST(routers.sends.size() == 3u);
}

// Prevents grants that were held up on their way from being used all at once.
BOOST_AUTO_TEST_CASE(aGrantThatComesLateHasLapsed)
{
    Routers routers(3);
    routers.run(Milliseconds(3000), Milliseconds(10), 1, Milliseconds(0));
    const std::size_t before = routers.sends.size();
    routers.extraDelay = Milliseconds(900);
    routers.run(Milliseconds(3000), Milliseconds(10), 1, Milliseconds(3000));
    BOOST_TEST(routers.sends.size() == before);
}

// Prevents a router that is out of touch from holding requests back while the rate grows after the end of a limit.
BOOST_AUTO_TEST_CASE(withoutTheKeeperRequestsAreDecidedOnAfterTheEnd)
{
    Routers routers(1);
    routers.stopAgent(engine);
    const LimitStatement ended { server, std::nullopt, routers.control.now(), routers.control.now() };
    std::size_t decided = 0;
    for (std::uint64_t number = 1; number <= 5; ++number) {
        const PermitOrder order { PermitNumber(number), ended, RequestRate(40), engine, 1,
            Deadline::after(routers.control.now(), Milliseconds(1000)), 1 };
        routers.exchanges[0]->ask(order, [&](const PermitReply&) { ++decided; });
    }
    routers.control.advance(Milliseconds(700));
    BOOST_TEST(decided == 5u);
}

// Prevents a request from being kept waiting without end for an answer that was lost.
BOOST_AUTO_TEST_CASE(anUnansweredQuestionIsADenial)
{
    Routers routers(1);
    routers.agents.erase(engine);
    routers.ask(0, 1, Milliseconds(0));
    routers.control.advance(Milliseconds(1000));
    BOOST_TEST(routers.denials.size() == 1u);
}

// Prevents the permits of callers that leave from being lost.
BOOST_AUTO_TEST_CASE(aPermitThatIsGivenBackGoesToAnotherRouter)
{
    Routers routers(2);
    routers.ask(0, 0.5, Milliseconds(0));
    routers.control.advance(Milliseconds(2100));
    const PermitNumber first = routers.ask(0, 0.5, Milliseconds(0));
    routers.control.advance(Milliseconds(10));
    BOOST_TEST(routers.sends.size() == 1u);
    routers.exchanges[0]->withdraw(first);
    routers.control.advance(Milliseconds(10));
    routers.ask(1, 0.5, Milliseconds(0));
    routers.control.advance(Milliseconds(10));
    BOOST_TEST(routers.sends.size() == 2u);
}

BOOST_AUTO_TEST_SUITE_END()

} // namespace lagoon::ratelimits
