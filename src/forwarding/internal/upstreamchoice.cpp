#include "forwarding/internal/upstreamchoice.h"

#include "catalog/modelweights.h"
#include "forwarding/internal/requestjob.h"
#include "forwarding/serverchoice.h"
#include "framework/randomid.h"
#include "policy/rendezvous.h"

#include <algorithm>

namespace lagoon::forwarding {

namespace {

using catalog::ModelTarget;
using framework::Milliseconds;

/// The number of leading prompt parts that determine the preferred engines; later parts are specific to a session or
/// request.
constexpr std::size_t affinityParts = 2;

std::vector<UpstreamPointer> allowed(
    const std::vector<UpstreamPointer>& ready, const JobSpec& spec, const TriedServers& tried)
{
    if (tried.sentTo.size() < spec.route->maxServers)
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

/// Returns the engines in the order in which all routers prefer them for prompts with the same beginning. Requests with
/// shared parts thus reach engines that have already processed them, without communication between routers.
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

std::uint32_t positionIn(const std::vector<framework::VmName>& order, const UpstreamRecord& engine)
{
    const framework::VmName name(engine.facts.endpoint.value());
    return static_cast<std::uint32_t>(std::find(order.begin(), order.end(), name) - order.begin());
}

ReadModel readModelOf(const JobSpec& spec)
{
    const catalog::Service* const service = spec.configuration->find(spec.service);
    const catalog::ModelProfile* const profile
        = service && service->engine ? service->engine->models.find(spec.facts.model) : nullptr;
    return { spec.facts.model, profile ? profile->weights : catalog::MegaBytes(0) };
}

class Search {
public:
    Search(IJobHost& host, const JobSpec& spec, const PromptChain& prompt, const TriedServers& tried,
        const std::optional<RequiredVersion>& required, const std::optional<RequestPermit>& permit)
        : host_(host)
        , spec_(spec)
        , prompt_(prompt)
        , tried_(tried)
        , required_(required)
        , permit_(permit)
        , readModel_(readModelOf(spec))
        , now_(host.now())
    {
    }

    UpstreamSearch run()
    {
        if (!spec_.facts.model.value().empty())
            return runForModel();
        const std::vector<UpstreamPointer> ready = ofRequiredVersion(host_.upstreams().ready(spec_.service));
        if (ready.empty())
            return failed(required_ ? NoUpstream::NoneOfVersion : NoUpstream::NoneReady);
        std::vector<UpstreamPointer> candidates = allowed(ready, spec_, tried_);
        if (candidates.empty())
            return failed(NoUpstream::NoneLeft);
        std::erase_if(candidates, [&](const UpstreamPointer& server) { return isResting(*server); });
        if (candidates.empty())
            return resting(ready);
        return searchServers(std::move(candidates));
    }

private:
    UpstreamSearch runForModel()
    {
        const UpstreamTable& upstreams = host_.upstreams();
        if (!upstreams.hasReady(spec_.service))
            return failed(required_ ? NoUpstream::NoneOfVersion : NoUpstream::NoneReady);
        const bool mayBeSentToNew = tried_.sentTo.size() < spec_.route->maxServers;
        if (!mayBeSentToNew && allowed(ofRequiredVersion(upstreams.ready(spec_.service)), spec_, tried_).empty())
            return failed(NoUpstream::NoneLeft);
        return searchEngines(
            allowed(ofRequiredVersion(upstreams.serving(spec_.service, spec_.facts.model)), spec_, tried_));
    }

    std::vector<UpstreamPointer> ofRequiredVersion(std::vector<UpstreamPointer> servers) const
    {
        if (required_)
            std::erase_if(servers, [&](const UpstreamPointer& server) {
                return !required_->isMetBy(host_.upstreams().softwareVersion(*server, now_));
            });
        return servers;
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

    bool isResting(const UpstreamRecord& server) const { return host_.upstreams().isResting(server, now_); }

    /// `servers` are those that could serve a copy of the request.
    UpstreamSearch resting(const std::vector<UpstreamPointer>& servers) const
    {
        UpstreamSearch search = failed(NoUpstream::Resting);
        search.availableAt = host_.upstreams().restEnd(servers, now_).value_or(framework::Deadline(now_));
        search.restsService = isServiceResting(host_, spec_);
        return search;
    }

    /// Returns the servers at which a suspected request may be tried. Prefers those without another suspect, so that a
    /// crash points to one of them only.
    std::vector<UpstreamPointer> forTrial(std::vector<UpstreamPointer> servers) const
    {
        quarantine::RequestQuarantine& quarantine = host_.quarantine();
        if (!quarantine.isSuspected(spec_.identity))
            return servers;
        std::erase_if(servers,
            [&](const UpstreamPointer& server) { return quarantine.mayHaveCrashed(serverRunId(server->facts.run())); });
        std::vector<UpstreamPointer> apart = servers;
        std::erase_if(apart, [&](const UpstreamPointer& server) {
            return quarantine.hasOtherTrial(serverRunId(server->facts.run()), spec_.identity);
        });
        return apart.empty() && !quarantine.mustRunApart(spec_.identity) ? servers : apart;
    }

    bool hasPermit(const UpstreamRecord& server) const
    {
        return permit_ && permit_->isGranted && permit_->server == server.facts.run();
    }

    bool needsPermit(const UpstreamRecord& server) const
    {
        return host_.limits().isLimited(server, now_) && !hasPermit(server);
    }

    /// Returns the servers that may take the request now, as far as their limits go. A permit that was granted is used.
    std::vector<UpstreamPointer> withinLimits(std::vector<UpstreamPointer> servers) const
    {
        for (const UpstreamPointer& server : servers) {
            if (hasPermit(*server))
                return { server };
        }
        std::erase_if(servers,
            [&](const UpstreamPointer& server) { return !host_.limits().mayTake(*server, spec_.priority, now_); });
        return servers;
    }

    static UpstreamSearch permitNeeded(const UpstreamPointer& server, bool mayWait)
    {
        UpstreamSearch search = failed(NoUpstream::PermitNeeded);
        search.permitAt = server;
        search.mayWait = mayWait;
        return search;
    }

    /// None of the servers has a permit left at the moment: chooses the one at which to wait for the next.
    UpstreamSearch waitForPermit(const std::vector<UpstreamPointer>& servers) const
    {
        const auto until
            = [&](const UpstreamPointer& server) { return host_.limits().deniedUntil(*server, spec_.priority); };
        const auto isSooner
            = [&](const UpstreamPointer& left, const UpstreamPointer& right) { return until(left) < until(right); };
        std::vector<UpstreamPointer> withTurn = servers;
        std::erase_if(withTurn, [&](const UpstreamPointer& server) {
            return tried_.withoutTurn.contains(server->facts.run()) || until(server) > spec_.firstEventBy;
        });
        if (!withTurn.empty())
            return permitNeeded(*std::min_element(withTurn.begin(), withTurn.end(), isSooner), true);
        const UpstreamPointer& soonest = *std::min_element(servers.begin(), servers.end(), isSooner);
        UpstreamSearch search = failed(NoUpstream::RateLimited);
        search.availableAt = until(soonest);
        return search;
    }

    UpstreamSearch searchServers(std::vector<UpstreamPointer> candidates)
    {
        const std::vector<UpstreamPointer> all = forTrial(std::move(candidates));
        candidates = withinLimits(all);
        if (candidates.empty() && !all.empty())
            return waitForPermit(all);
        while (!candidates.empty()) {
            std::vector<ServerView> views;
            for (const UpstreamPointer& server : candidates)
                views.push_back(viewOf(*server));
            const auto index = *chooseServer(views, framework::randomFraction());
            if (needsPermit(*candidates[index]))
                return permitNeeded(candidates[index], all.size() == 1);
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

    UpstreamSearch searchEngines(const std::vector<UpstreamPointer>& candidates)
    {
        const ModelTarget target { spec_.facts.model, spec_.facts.adapter };
        const ModelTarget model { spec_.facts.model, {} };
        std::vector<UpstreamPointer> loaded;
        std::vector<UpstreamPointer> withoutAdapter;
        std::vector<UpstreamPointer> resting;
        for (const UpstreamPointer& engine : candidates) {
            if (isSilent(*engine) && !engine->liveness.mayProbe(now_))
                continue;
            if (host_.upstreams().hasLoaded(*engine, target, now_))
                (isResting(*engine) ? resting : loaded).push_back(engine);
            else if (isResting(*engine))
                continue;
            else if (host_.upstreams().hasLoaded(*engine, model, now_))
                withoutAdapter.push_back(engine);
        }
        loaded = forTrial(std::move(loaded));
        if (!loaded.empty())
            return chooseAmongLoaded(std::move(loaded));
        if (!withoutAdapter.empty())
            return adapterNotLoaded(withoutAdapter);
        if (!resting.empty())
            return this->resting(resting);
        return required_ ? notLoadedAtVersion() : failed(NoUpstream::NotLoaded);
    }

    /// Chooses an engine of the required version that can load the model in time. Loads from the weight store aren't
    /// requested: their number is limited, and they rarely end in time for a stream that has begun.
    UpstreamSearch notLoadedAtVersion() const
    {
        UpstreamSearch search = failed(NoUpstream::NotLoaded);
        Milliseconds lowest = spec_.firstEventBy.remaining(now_);
        for (const UpstreamPointer& engine : ofRequiredVersion(host_.upstreams().ready(spec_.service))) {
            const auto time = timeToLoad(*engine);
            if (!time || *time >= lowest)
                continue;
            lowest = *time;
            search.loadAt = engine->facts.endpoint;
        }
        return search.loadAt.value().empty() ? failed(NoUpstream::NoneOfVersion) : search;
    }

    /// Returns std::nullopt if the engine can't load the model, or only from the weight store.
    std::optional<Milliseconds> timeToLoad(const UpstreamRecord& engine) const
    {
        const catalog::Service* const service = spec_.configuration->find(spec_.service);
        const ReportedState* const report = host_.upstreams().state(engine, now_);
        if (!service || !service->engine || !report || isSuspect(engine) || isSilent(engine) || isResting(engine)
            || host_.upstreams().hasLostAgent(engine) || report->state.isDraining(spec_.facts.model))
            return std::nullopt;
        const auto isAwaited = [&](const auto& expected) { return expected.model == spec_.facts.model; };
        const auto& awaited = report->state.expected;
        const auto expected = std::find_if(awaited.begin(), awaited.end(), isAwaited);
        if (expected != awaited.end())
            return expected->within < catalog::loadImpossible ? std::optional(expected->within) : std::nullopt;
        const catalog::ModelProfile* const model = service->engine->models.find(spec_.facts.model);
        if (!model)
            return std::nullopt;
        const Milliseconds time = catalog::loadTime(*model, report->state.cachedWeights);
        return time < model->loadFromStore ? std::optional(time) : std::nullopt;
    }

    /// Only an engine with an agent can be asked to load, and one that is loading a model loads no adapter until that
    /// has ended, which may take seconds.
    UpstreamSearch adapterNotLoaded(const std::vector<UpstreamPointer>& engines) const
    {
        UpstreamSearch search = failed(NoUpstream::AdapterNotLoaded);
        std::vector<framework::VmName> names;
        std::vector<framework::VmName> loading;
        std::vector<framework::VmName> unreported;
        for (const UpstreamPointer& engine : engines) {
            if (isSuspect(*engine) || host_.upstreams().hasLostAgent(*engine))
                continue;
            const ReportedState* const report = host_.upstreams().state(*engine, now_);
            const bool isLoading = report && !report->state.loading.value().empty();
            auto& list = !report ? unreported : isLoading ? loading : names;
            list.emplace_back(engine->facts.endpoint.value());
        }
        if (names.empty())
            names = std::move(loading);
        if (names.empty())
            names = std::move(unreported);
        if (names.empty())
            return failed(NoUpstream::NotLoaded);
        const std::string key = spec_.facts.model.value() + '/' + spec_.facts.adapter.value();
        search.loadAt = framework::Endpoint(policy::rendezvousOrder(key, std::move(names)).front().value());
        return search;
    }

    UpstreamSearch chooseAmongLoaded(std::vector<UpstreamPointer> loaded)
    {
        const std::vector<UpstreamPointer> all = loaded;
        loaded = withinLimits(all);
        if (loaded.empty())
            return waitForPermit(all);
        const std::size_t candidates = all.size();
        const StreamAims aims = streamAims();
        while (!loaded.empty()) {
            const std::vector<framework::VmName> order = affinityOrder(loaded, prompt_);
            std::vector<EngineView> views;
            for (const UpstreamPointer& engine : loaded)
                views.push_back(viewOf(*engine, positionIn(order, *engine)));
            const auto choice = chooseEngine(views, aims);
            // A request that has been started at another server is no longer refused for overload.
            const bool isNew = tried_.sentTo.empty();
            if (isNew)
                host_.didEstimateFirstEvent(spec_, choice->expected);
            if (isNew && host_.isOverloaded(spec_, choice->expected))
                return overloaded(choice->expected);
            if (needsPermit(*loaded[choice->index]))
                return permitNeeded(loaded[choice->index], candidates == 1);
            if (auto chosen = connect(loaded[choice->index], candidates)) {
                chosen->newTokens = views[choice->index].newTokens;
                chosen->sample = sampleOf(views[choice->index]);
                chosen->expected = choice->expected;
                return found(std::move(*chosen));
            }
            loaded.erase(loaded.begin() + static_cast<std::ptrdiff_t>(choice->index));
        }
        return failed(NoUpstream::AllConnectionsTaken);
    }

    StreamAims streamAims() const
    {
        if (!switches().weighsStreamDelays)
            return {};
        const catalog::Route& route = *spec_.route;
        const Milliseconds gap = route.kind == catalog::RouteKind::Streaming ? route.maxEventGap : Milliseconds(0);
        return { route.targetLatency, gap, host_.upstreams().shortestMaxEventGap(spec_.service) };
    }

    /// The time until the first event says how fast the engine reads only if it reads nothing else.
    ReadingSample sampleOf(const EngineView& engine) const
    {
        const bool readsNothingElse = engine.queuedAhead == 0 && engine.readingTokens == 0;
        if (!switches().learnsEngineSpeeds || !readsNothingElse)
            return {};
        return { host_.upstreams().speeds(spec_.service), readModel_.weights, engine.newTokens };
    }

    EngineView viewOf(const UpstreamRecord& engine, std::uint32_t affinityRank) const
    {
        EngineView view;
        view.slots = engine.facts.slots;
        if (const ReportedState* const report = host_.upstreams().state(engine, now_)) {
            view.running = report->state.running;
            view.queued = report->state.queued;
            view.streams = report->state.streams;
            view.readingTokens = report->state.readingTokens.value();
            // Engines admit the most urgent requests at once, so all queued requests are less urgent.
            view.queuedAhead = spec_.priority == 0 ? 0 : report->state.queued;
            view.usedTokens = report->state.usedMemory.value();
            view.totalTokens = report->state.memory.value();
        }
        view.ownStarting = engine.starting;
        for (const auto& [priority, tokens] : engine.startingTokens) {
            view.ownStartingTokens += tokens;
            view.ownTokensAhead += priority <= spec_.priority ? tokens : 0;
        }
        // The agent's word is older than this router's own sends.
        view.streams = std::max(view.streams, engine.inFlight - engine.starting);
        view.readingTokens = std::max(view.readingTokens, view.ownStartingTokens);
        if (switches().learnsEngineSpeeds)
            view.tokensPerMillisecond
                = host_.upstreams().speeds(spec_.service)->tokensPerMillisecond(engine.facts.run(), readModel_);
        const std::uint64_t prompt = spec_.facts.promptTokens.value();
        view.newTokens = prompt - std::min<std::uint64_t>(prompt, engine.prompts.cachedTokens(prompt_));
        view.memoryTokens = prompt + spec_.facts.maxOutputTokens.value();
        view.affinityRank = switches().followsPrompts ? affinityRank : 0;
        view.isSuspect = isSuspect(engine) || host_.upstreams().isPausing(engine, now_);
        view.isInOwnFailureDomain = isInOwnDomain(engine);
        view.wasTried = tried_.has(engine);
        return view;
    }

    std::optional<ChosenUpstream> connect(const UpstreamPointer& upstream, std::size_t candidates)
    {
        auto connection = upstream->connections.take(reuseFor(*spec_.route), now_, tried_.connections);
        if (!connection)
            return std::nullopt;
        ChosenUpstream chosen;
        chosen.upstream = upstream;
        chosen.connection = std::move(connection);
        chosen.candidates = candidates;
        chosen.listAge = host_.upstreams().listAge(now_);
        if (const ReportedState* const report = host_.upstreams().state(*upstream, now_))
            chosen.stateAge = std::chrono::duration_cast<Milliseconds>(now_ - report->at);
        return chosen;
    }

    IJobHost& host_;
    const JobSpec& spec_;
    const PromptChain& prompt_;
    const TriedServers& tried_;
    const std::optional<RequiredVersion>& required_;
    const std::optional<RequestPermit>& permit_;
    const ReadModel readModel_;
    framework::SteadyTime now_;
};

} // namespace

UpstreamSearch findUpstream(IJobHost& host, const JobSpec& spec, const PromptChain& prompt, const TriedServers& tried,
    const std::optional<RequiredVersion>& required, const std::optional<RequestPermit>& permit)
{
    return Search(host, spec, prompt, tried, required, permit).run();
}

std::optional<framework::Deadline> restEnd(IJobHost& host, const JobSpec& spec)
{
    const UpstreamTable& upstreams = host.upstreams();
    const framework::SteadyTime now = host.now();
    if (spec.facts.model.value().empty())
        return upstreams.restEnd(upstreams.ready(spec.service), now);
    std::vector<UpstreamPointer> engines = upstreams.serving(spec.service, spec.facts.model);
    std::erase_if(engines, [&](const UpstreamPointer& engine) {
        return !upstreams.hasLoaded(*engine, { spec.facts.model, spec.facts.adapter }, now);
    });
    return upstreams.restEnd(engines, now);
}

bool isServiceResting(IJobHost& host, const JobSpec& spec)
{
    return host.upstreams().restEnd(host.upstreams().ready(spec.service), host.now()).has_value();
}

} // namespace lagoon::forwarding
