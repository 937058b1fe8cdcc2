#pragma once

#include "framework/testing/manualcontrol.h"
#include "quotas/quotaexchange.h"
#include "quotas/quotakeeper.h"
#include "quotas/routerstandings.h"

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

/// Routers and agents with quotas in simulated time, without a network.
namespace lagoon::quotas {

inline const std::vector<framework::Endpoint> keepers { framework::Endpoint("10.0.0.1:80"),
    framework::Endpoint("10.0.0.2:80"), framework::Endpoint("10.0.0.3:80") };
inline constexpr framework::Milliseconds networkDelay { 2 };
/// What operators are promised: in each window of this length no more than quota and burst, a tenth more, and the
/// tolerance.
inline constexpr framework::Milliseconds window { 8000 };
inline constexpr double excess = 1.1;
/// Of what a customer may use, this much at least can be used while there is demand.
inline constexpr double minUsable = 0.95;

/// Routers and the agents that keep quotas, in simulated time.
struct QuotaFleet {
    explicit QuotaFleet(std::size_t routers, double toleratedExcess = 0)
        : tolerance(toleratedExcess)
    {
        for (const framework::Endpoint& keeper : keepers)
            startAgent(keeper);
        exchanges.resize(routers);
        for (std::size_t index = 0; index < routers; ++index)
            startRouter(index);
        control.advance(framework::Milliseconds(1000));
    }

    void startRouter(std::size_t index)
    {
        exchanges[index] = std::make_unique<QuotaExchange>(QuotaExchange::Context { control, control, metrics,
            nameOf(index), [this, index](const framework::Endpoint& keeper, const wire::Message& message) {
                toAgent(index, keeper, message);
            } });
        exchanges[index]->setTolerance(tolerance);
        exchanges[index]->setRouters(static_cast<std::uint32_t>(exchanges.size()));
        exchanges[index]->setKeepers({ keepers.begin(), keepers.end() });
        for (const framework::Endpoint& keeper : keepers)
            exchanges[index]->didOpen(keeper);
    }

    /// The router's process ends, and another one starts under its name.
    void restartRouter(std::size_t index)
    {
        for (const auto& [keeper, agent] : agents)
            agent->didClose(nameOf(index));
        startRouter(index);
    }

    static framework::VmName nameOf(std::size_t index) { return framework::VmName("router-" + std::to_string(index)); }

    void startAgent(const framework::Endpoint& keeper)
    {
        agents[keeper] = std::make_unique<QuotaKeeper>(QuotaKeeper::Context { control, metrics });
    }

    bool isCut(std::size_t index, const framework::Endpoint& keeper) const { return cuts.contains({ index, keeper }); }

    void toAgent(std::size_t index, const framework::Endpoint& keeper, const wire::Message& message)
    {
        ++messages;
        const auto& standing = message.body.AsCustomerQuotas()->standing;
        lists += standing && !standing->is_unchanged ? 1 : 0;
        draws += message.body.AsCustomerQuotas()->asked.size();
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay + framework::Milliseconds(jitter > 0 ? random() % jitter : 0), [this, index, keeper, sent] {
            const auto agent = agents.find(keeper);
            if (agent == agents.end() || isCut(index, keeper) || frozen.contains(keeper))
                return;
            const auto answer = agent->second->receive(nameOf(index), *sent->body.AsCustomerQuotas());
            if (answer)
                toRouter(keeper, index, *answer);
        });
    }

    void toRouter(const framework::Endpoint& keeper, std::size_t index, const wire::Message& message)
    {
        const auto sent = std::make_shared<wire::Message>(message);
        later(networkDelay, [this, keeper, index, sent] {
            if (!isCut(index, keeper))
                exchanges[index]->receive(keeper, *sent->body.AsCustomerQuotas());
        });
    }

    void later(framework::Milliseconds delay, std::function<void()> action)
    {
        std::erase_if(timers, [this](const auto& timer) { return timer.first < control.now(); });
        timers.emplace_back(
            control.now() + delay, control.runAt(framework::Deadline::after(control.now(), delay), std::move(action)));
    }

    /// The agent's process ends, and its state is lost.
    void stopAgent(const framework::Endpoint& keeper)
    {
        agents.erase(keeper);
        for (const auto& exchange : exchanges)
            exchange->didClose(keeper);
    }

    /// Nothing passes between the router and the agent. Both notice by its silence.
    void cut(std::size_t index, const framework::Endpoint& keeper)
    {
        cuts.insert({ index, keeper });
        later(framework::Milliseconds(2400), [this, index, keeper] {
            if (isCut(index, keeper))
                exchanges[index]->didClose(keeper);
        });
        later(framework::Milliseconds(3500), [this, index, keeper] {
            if (isCut(index, keeper) && agents.contains(keeper))
                agents[keeper]->didClose(nameOf(index));
        });
    }

    void heal(std::size_t index, const framework::Endpoint& keeper)
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
        draw.neededBy = framework::Deadline::after(control.now(), neededWithin);
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
    void run(framework::Milliseconds duration, framework::Milliseconds pause, double cost, Choose choose,
        const std::string& customer = "one")
    {
        const framework::SteadyTime end = control.now() + duration;
        while (control.now() < end) {
            ask(choose(), cost, customer);
            control.advance(pause);
        }
    }

    std::size_t anyRouter() { return random() % exchanges.size(); }

    double used(framework::SteadyTime since, const std::string& customer = "one") const
    {
        double sum = 0;
        for (const auto& [at, cost] : uses.contains(customer) ? uses.at(customer) : Uses()) {
            if (at >= since)
                sum += cost;
        }
        return sum;
    }

    double mostInWindow(const std::string& customer = "one", framework::Milliseconds length = window) const
    {
        double most = 0;
        double sum = 0;
        const Uses& all = uses.at(customer);
        auto first = all.begin();
        for (const auto& [at, cost] : all) {
            sum += cost;
            while (at - first->first > length)
                sum -= (first++)->second;
            most = std::max(most, sum);
        }
        return most;
    }

    void flood(framework::Milliseconds duration, double cost = 3000)
    {
        run(duration, framework::Milliseconds(25), cost, [this] { return anyRouter(); });
    }

    double bound() const { return (perSecond * 8 + burst) * excess + tolerance; }

    using Uses = std::vector<std::pair<framework::SteadyTime, double>>;

    framework::ManualControl control;
    framework::Metrics metrics;
    std::mt19937 random { 7 };
    double tolerance;
    double perSecond = 30000;
    double burst = 30000;
    framework::Milliseconds neededWithin { 1000 };
    std::uint64_t version = 1;
    /// Messages to agents are delayed by up to this many milliseconds more.
    std::uint64_t jitter = 0;
    std::uint64_t numbers = 0;
    std::uint64_t messages = 0;
    /// How often a keeper was asked for a draw.
    std::uint64_t draws = 0;
    /// How often a keeper was told a router's list of keepers.
    std::uint64_t lists = 0;
    std::map<framework::Endpoint, std::unique_ptr<QuotaKeeper>> agents;
    std::set<std::pair<std::size_t, framework::Endpoint>> cuts;
    std::set<framework::Endpoint> frozen;
    std::vector<std::unique_ptr<QuotaExchange>> exchanges;
    std::vector<std::pair<framework::SteadyTime, std::unique_ptr<framework::Timer>>> timers;
    std::map<std::string, Uses> uses;
    std::map<std::string, double> asked;
    std::map<DrawOutcome, std::size_t> outcomes;
    std::vector<framework::Milliseconds> retryAfters;
};

/// The keeper that all routers ask for the customer.
inline framework::Endpoint keeperOfOne() { return *keeperOf(catalog::CustomerName("one"), keepers); }

} // namespace lagoon::quotas
