#pragma once

namespace lagoon::policy {

/// Enables or disables single mechanisms of the direct path's policies. An operator or a test switches one off to
/// measure its benefit or to do without it for a while; those for engines of uneven speed are off until the settings
/// call for them. No guarantee depends on any of them: they only improve decisions.
struct PolicySwitches {
    /// Busy models are loaded on several engines.
    bool copiesBusyModels = true;
    /// One copy of a busy model may be evicted for a model that requests wait for.
    bool displacesBusyCopies = true;
    /// Models that no engine has cached are prefetched while no request waits for them.
    bool fetchesAhead = true;
    /// Models with many adapters are kept cached on a second engine.
    bool keepsStandbys = true;
    /// Loads wait while the weight store already serves as many loads as it can at full speed.
    bool sharesWeightStore = true;
    /// Loads start in the order of their value to the waiting requests, not in the order of arrival.
    bool ordersLoadsByValue = true;
    /// Loads go preferably to engines that can evict idle models, rather than to engines whose requests have to end
    /// before they can evict.
    bool avoidsDrains = true;
    /// A load stays with the agent that was asked for it unless another one is better by a margin.
    bool keepsToLoader = true;
    /// Prompts go preferably to engines that probably have parts of them in their prefix caches.
    bool followsPrompts = true;
    /// Servers that failed lately are avoided.
    bool suspectsServers = true;
    /// Engines that have stopped responding are avoided, and requests that may be retried are taken back from them.
    bool leavesSilentEngines = true;
    /// Requests are retried if that is permitted.
    bool repeatsRequests = true;
    /// Requests that can't be answered in time are refused at once.
    bool refusesHopeless = true;
    /// Requests that find a standing queue are refused.
    bool refusesOverload = true;
    /// Refused callers that were told to retry count as demand for their model's load.
    bool countsReturning = true;
    /// Servers in the router's own failure domain are preferred.
    bool prefersOwnDomain = true;
    /// Prompts go preferably to engines where they delay few streams, and streams to engines that read few prompts.
    bool weighsStreamDelays = true;
    /// The speed at which each engine reads prompts of each model is learned.
    bool learnsEngineSpeeds = true;
};

} // namespace lagoon::policy
