#pragma once

#include "framework/controlthread.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "streams/dispatchtable.h"
#include "streams/istreamorigins.h"
#include "streams/keeperchoice.h"
#include "streams/originwire.h"

#include <deque>
#include <map>
#include <memory>
#include <set>

namespace lagoon::streams {

/// A router's part of the exchange: records its streams at the agents of a few engines, and asks such agents about
/// streams that other routers received. Runs on the control thread.
///
/// An agent's record of a stream is never wrong, only missing: an attempt is sent to software other than that recorded
/// only after all agents that may keep the record have confirmed its retraction.
class OriginExchange final : public IStreamOrigins {
public:
    struct Context {
        framework::IControlExecutor& control;
        const framework::IClock& clock;
        framework::Metrics& metrics;
        /// Sends to the agent of an engine. Called only between `didOpen` and `didClose` of the engine.
        std::function<void(const framework::Endpoint&, const wire::Message&)> send;
    };

    explicit OriginExchange(Context);

    /// Sets the engines whose agents keep records, equally at all routers.
    void setKeepers(const std::vector<Keeper>&);
    /// The link to the agent of an engine is open, and the agent keeps records.
    void didOpen(const framework::Endpoint&);
    void didClose(const framework::Endpoint&);
    void receive(const framework::Endpoint& from, const wire::fb::StreamOriginsT&);

    void record(const DispatchRecord&) override;
    void retract(const DispatchRecord&, std::function<void(bool)>) override;
    void find(const AttemptKey&, std::function<void(const OriginAnswer&)>) override;

private:
    /// A question that the agents haven't answered yet.
    struct Search {
        std::set<framework::Endpoint> asked;
        std::set<framework::Endpoint> unknownTo;
        std::vector<std::function<void(const OriginAnswer&)>> handlers;
        std::unique_ptr<framework::Timer> timeout;
    };
    struct Retraction {
        DispatchRecord record;
        /// The agents that haven't confirmed it.
        std::set<framework::Endpoint> missing;
        std::function<void(bool)> handler;
        std::unique_ptr<framework::Timer> timeout;
    };
    /// What waits to be sent to one agent.
    struct Outbox {
        std::deque<DispatchRecord> dispatches;
        framework::Deadline nextSend;
    };

    std::vector<framework::Endpoint> openKeepers(const AttemptKey&, std::size_t count) const;
    void tell(const framework::Endpoint&, const DispatchRecord&);
    void sendDue();
    void schedule();
    void dropOldTold(framework::SteadyTime now);
    void askOpenKeepers(const AttemptKey&, Search&);
    bool isUnknownToAll(const AttemptKey&, const Search&) const;
    void endSearch(const AttemptKey&, const OriginAnswer&);
    void didNotKnow(const framework::Endpoint& keeper, const AttemptKey&);
    void sendRetraction(const framework::Endpoint& keeper, const DispatchRecord&);
    void didConfirm(const framework::Endpoint& keeper, const AttemptKey&, std::uint32_t dispatch);
    void endRetraction(const AttemptKey&, bool isConfirmed);

    Context context_;
    KeeperChoice choice_;
    /// The outboxes of the agents with an open link.
    std::map<framework::Endpoint, Outbox> open_;
    DispatchTable own_;
    /// The agents that may have a record of this router's attempts.
    std::map<AttemptKey, std::set<framework::Endpoint>> told_;
    std::map<AttemptKey, Search> searches_;
    std::map<AttemptKey, Retraction> retractions_;
    std::unique_ptr<framework::Timer> timer_;
};

} // namespace lagoon::streams
