#include "forwarding/internal/upstreamchoice.h"

#include "forwarding/internal/requestjob.h"
#include "forwarding/serverchoice.h"
#include "framework/randomid.h"
#include "policy/rendezvous.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using catalog::ModelTarget;
using framework::Milliseconds;

/// Parts of a prompt by which engines are preferred: the ones behind are a session's or the request's own.
constexpr std::size_t affinityParts = 2;

std::vector<UpstreamPointer> allowed(
    const std::vector<UpstreamPointer>& ready, const JobTerms& terms, const ServersTried& tried)
{
    if (tried.sentTo.size() < terms.route->mostServers)
        return ready;
    std::vector<UpstreamPointer> found;
    for (const UpstreamPointer& upstream : ready) {
        if (tried.sentTo.contains(upstream->facts.run()))
            found.push_back(upstream);
    }
    return found;
}

http::ConnectionPool::Reuse reuseFor(const catalog::Route& route)
{
    const bool mayRunTwice = route.kind == catalog::RouteKind::Idempotent || route.isResumable;
    return mayRunTwice ? http::ConnectionPool::Reuse::Normal : http::ConnectionPool::Reuse::Conservative;
}

/// The engines by the order in which all routers prefer them for prompts that begin like this one: so requests with
/// shared parts meet where those have been read, without routers telling each other.
std::vector<framework::VmName> affinityOrder(const std::vector<UpstreamPointer>& engines, const PromptChain& prompt)
{
    std::vector<framework::VmName> names;
    names.reserve(engines.size());
    for (const UpstreamPointer& engine : engines)
        names.emplace_back(engine->facts.endpoint.value());
    const std::size_t parts = std::min(affinityParts, prompt.size());
    const std::string key = parts == 0 ? std::string() : std::to_string(prompt[parts - 1].hash);
    return policy::rendezvousOrder(key, std::move(names));
}

std::uint32_t placeOf(const std::vector<framework::VmName>& order, const UpstreamRecord& engine)
{
    const framework::VmName name(engine.facts.endpoint.value());
    return static_cast<std::uint32_t>(std::find(order.begin(), order.end(), name) - order.begin());
}

class Search {
public:
    Search(IJobHost& host, const JobTerms& terms, const PromptChain& prompt, const ServersTried& tried)
        : host_(host)
        , terms_(terms)
        , prompt_(prompt)
        , tried_(tried)
        , now_(host.now())
    {
    }

    UpstreamSearch run()
    {
        if (!terms_.facts.model.value().empty())
            return runForModel();
        const std::vector<UpstreamPointer> ready = host_.upstreams().ready(terms_.service);
        if (ready.empty())
            return failed(NoUpstream::NoneReady);
        std::vector<UpstreamPointer> candidates = allowed(ready, terms_, tried_);
        if (candidates.empty())
            return failed(NoUpstream::NoneLeft);
        return amongServers(std::move(candidates));
    }

private:
    UpstreamSearch runForModel()
    {
        const UpstreamTable& upstreams = host_.upstreams();
        if (!upstreams.hasReady(terms_.service))
            return failed(NoUpstream::NoneReady);
        const bool mayBeSentToNew = tried_.sentTo.size() < terms_.route->mostServers;
        if (!mayBeSentToNew && allowed(upstreams.ready(terms_.service), terms_, tried_).empty())
            return failed(NoUpstream::NoneLeft);
        return amongEngines(allowed(upstreams.serving(terms_.service, terms_.facts.model), terms_, tried_));
    }

    static UpstreamSearch found(ChosenUpstream&& chosen)
    {
        UpstreamSearch search;
        search.chosen = std::move(chosen);
        return search;
    }

    static UpstreamSearch failed(NoUpstream reason)
    {
        UpstreamSearch search;
        search.reason = reason;
        return search;
    }

    static UpstreamSearch overloaded(Milliseconds expected)
    {
        UpstreamSearch search = failed(NoUpstream::Overloaded);
        search.expected = expected;
        return search;
    }

    UpstreamSearch amongServers(std::vector<UpstreamPointer> candidates)
    {
        while (!candidates.empty()) {
            std::vector<ServerView> views;
            for (const UpstreamPointer& server : candidates)
                views.push_back(viewOf(*server));
            const auto index = *chooseServer(views, framework::randomFraction());
            if (auto chosen = connect(candidates[index], candidates.size()))
                return found(std::move(*chosen));
            candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
        }
        return failed(NoUpstream::AllConnectionsTaken);
    }

    const policy::PolicySwitches& switches() const { return host_.settings().policy; }

    bool isSuspect(const UpstreamRecord& server) const { return host_.upstreams().isSuspect(server, now_); }

    bool isSilent(const UpstreamRecord& engine) const { return host_.upstreams().isSilent(engine, now_); }

    bool isInOwnDomain(const UpstreamRecord& server) const
    {
        return switches().prefersOwnDomain && server.facts.failureDomain == host_.settings().failureDomain;
    }

    ServerView viewOf(const UpstreamRecord& server) const
    {
        return { server.facts.slots, server.inFlight, isSuspect(server), isInOwnDomain(server), tried_.has(server) };
    }

    UpstreamSearch amongEngines(const std::vector<UpstreamPointer>& candidates)
    {
        const ModelTarget target { terms_.facts.model, terms_.facts.adapter };
        const ModelTarget model { terms_.facts.model, {} };
        std::vector<UpstreamPointer> holders;
        std::vector<UpstreamPointer> withoutAdapter;
        for (const UpstreamPointer& engine : candidates) {
            if (isSilent(*engine) && !engine->liveness.mayProbe(now_))
                continue;
            if (host_.upstreams().holds(*engine, target, now_))
                holders.push_back(engine);
            else if (host_.upstreams().holds(*engine, model, now_))
                withoutAdapter.push_back(engine);
        }
        if (holders.empty())
            return withoutAdapter.empty() ? failed(NoUpstream::NotLoaded) : adapterWanted(withoutAdapter);
        return amongHolders(std::move(holders));
    }

    /// Only an engine that an agent speaks for can be asked to load, and one that is loading a model takes no adapter
    /// until that has ended, which may be seconds.
    UpstreamSearch adapterWanted(const std::vector<UpstreamPointer>& engines) const
    {
        UpstreamSearch search = failed(NoUpstream::AdapterNotLoaded);
        std::vector<framework::VmName> names;
        std::vector<framework::VmName> loading;
        std::vector<framework::VmName> notHeardYet;
        for (const UpstreamPointer& engine : engines) {
            if (isSuspect(*engine) || host_.upstreams().hasLostAgent(*engine))
                continue;
            const HeardState* const heard = host_.upstreams().state(*engine, now_);
            const bool isLoading = heard && !heard->state.loading.value().empty();
            auto& list = !heard ? notHeardYet : isLoading ? loading : names;
            list.emplace_back(engine->facts.endpoint.value());
        }
        if (names.empty())
            names = std::move(loading);
        if (names.empty())
            names = std::move(notHeardYet);
        if (names.empty())
            return failed(NoUpstream::NotLoaded);
        const std::string key = terms_.facts.model.value() + '/' + terms_.facts.adapter.value();
        search.adapterAt = framework::Endpoint(policy::rendezvousOrder(key, std::move(names)).front().value());
        return search;
    }

    UpstreamSearch amongHolders(std::vector<UpstreamPointer> holders)
    {
        const std::size_t candidates = holders.size();
        while (!holders.empty()) {
            const std::vector<framework::VmName> order = affinityOrder(holders, prompt_);
            std::vector<EngineView> views;
            for (const UpstreamPointer& engine : holders)
                views.push_back(viewOf(*engine, placeOf(order, *engine)));
            const auto choice = chooseEngine(views);
            // What has been begun elsewhere isn't refused any more.
            const bool isNew = tried_.sentTo.empty();
            if (isNew)
                host_.didFindQueue(terms_, choice->expected);
            if (isNew && host_.isOverloaded(terms_, choice->expected))
                return overloaded(choice->expected);
            if (auto chosen = connect(holders[choice->index], candidates)) {
                chosen->newTokens = views[choice->index].newTokens;
                chosen->expected = choice->expected;
                return found(std::move(*chosen));
            }
            holders.erase(holders.begin() + static_cast<std::ptrdiff_t>(choice->index));
        }
        return failed(NoUpstream::AllConnectionsTaken);
    }

    EngineView viewOf(const UpstreamRecord& engine, std::uint32_t affinityRank) const
    {
        EngineView view;
        view.slots = engine.facts.slots;
        if (const HeardState* const heard = host_.upstreams().state(engine, now_)) {
            view.running = heard->state.running;
            view.queued = heard->state.queued;
            // The most urgent are let in at once, so what waits there is less urgent.
            view.queuedAhead = terms_.route->priority == 0 ? 0 : heard->state.queued;
            view.usedTokens = heard->state.usedMemory.value();
            view.totalTokens = heard->state.memory.value();
        }
        view.ownStarting = engine.starting;
        for (const auto& [priority, tokens] : engine.startingTokens) {
            view.ownStartingTokens += tokens;
            view.ownTokensAhead += priority <= terms_.route->priority ? tokens : 0;
        }
        const std::uint64_t prompt = terms_.facts.promptTokens.value();
        view.newTokens = prompt - std::min<std::uint64_t>(prompt, engine.prompts.kept(prompt_));
        view.memoryTokens = prompt + terms_.facts.mostOutputTokens.value();
        view.affinityRank = switches().followsPrompts ? affinityRank : 0;
        view.isSuspect = isSuspect(engine) || host_.upstreams().isPausing(engine, now_);
        view.isInOwnFailureDomain = isInOwnDomain(engine);
        view.wasTried = tried_.has(engine);
        return view;
    }

    std::optional<ChosenUpstream> connect(const UpstreamPointer& upstream, std::size_t candidates)
    {
        auto connection = upstream->connections.take(reuseFor(*terms_.route), now_);
        if (!connection)
            return std::nullopt;
        ChosenUpstream chosen;
        chosen.upstream = upstream;
        chosen.connection = std::move(connection);
        chosen.candidates = candidates;
        chosen.listAge = host_.upstreams().listAge(now_);
        if (const HeardState* const heard = host_.upstreams().state(*upstream, now_))
            chosen.stateAge = std::chrono::duration_cast<Milliseconds>(now_ - heard->at);
        return chosen;
    }

    IJobHost& host_;
    const JobTerms& terms_;
    const PromptChain& prompt_;
    const ServersTried& tried_;
    framework::SteadyTime now_;
};

} // namespace

UpstreamSearch findUpstream(IJobHost& host, const JobTerms& terms, const PromptChain& prompt, const ServersTried& tried)
{
    return Search(host, terms, prompt, tried).run();
}

} // namespace lagoon::forwarding
