#pragma once

namespace lagoon::policy {

/// Which mechanisms of the direct path's policies are on: all, unless an operator or a test wants to know what one of
/// them is worth, or has to do without it for a while. None of them keeps a promise; each only decides better or worse.
struct PolicySwitches {
    /// Busy models are held by several engines.
    bool copiesBusyModels = true;
    /// A busy model may lose one of its copies to a model that callers wait for.
    bool displacesBusyCopies = true;
    /// Models that no engine has at hand are fetched while nobody waits.
    bool fetchesAhead = true;
    /// Models of many adapters are kept at hand on a second engine.
    bool keepsStandbys = true;
    /// Loads wait while the weight store serves as many as it can at full speed.
    bool sharesWeightStore = true;
    /// Loads go by the worth of those who wait, not by who came first.
    bool ordersLoadsByValue = true;
    /// Engines whose models are idle are preferred to those whose requests have to end first.
    bool avoidsDrains = true;
    /// An agent that has been asked for a load is kept to.
    bool keepsToLoader = true;
    /// Engines are preferred for prompts whose parts they are thought to keep.
    bool followsPrompts = true;
    /// Servers that failed lately are passed by.
    bool suspectsServers = true;
    /// Engines that have fallen silent are passed by, and what may run again is taken away from them.
    bool leavesSilentEngines = true;
    /// Requests are sent once more if they may be.
    bool repeatsRequests = true;
    /// Who can't be served in time is refused at once.
    bool refusesHopeless = true;
    /// Who finds a queue that stays too long is refused.
    bool refusesOverload = true;
    /// Refused callers who are to come back count for their model's load.
    bool countsReturning = true;
    /// Servers in the own failure domain are preferred.
    bool prefersOwnDomain = true;
};

} // namespace lagoon::policy
