#pragma once

#include "framework/decisionlog.h"
#include "framework/iclock.h"
#include "framework/metrics.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"
#include "quarantine/crashevidence.h"
#include "quarantine/soundparts.h"
#include "quarantine/types/requestidentity.h"
#include "quarantine/verdicts.h"

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Keeps requests that crash their servers from being sent to one server after the other: see docs/DESIGN.md.
namespace lagoon::quarantine {

/// Whether a request may be sent to a server now.
enum class Admission : std::uint8_t {
    Free, ///< no suspicion
    Trial, ///< suspected; may be sent as the only one of its copies
    Wait, ///< another copy is being tried, or a crash isn't confirmed yet
    Quarantined,
};

/// How the end of a server's run was recognized.
enum class EndSign : std::uint8_t {
    Restarted, ///< the server reports a later start
    Refused, ///< nothing listens at its endpoint any more
    Unlisted, ///< the platform has dropped it from its list
};

/// A request that was cut off at a server.
struct CutRequest {
    RequestIdentity request;
    ServerRunId server;
    framework::SteadyTime sentAt {};
    /// Whether the server may have been leaving without this router having heard of it. Only a restart then shows that
    /// it crashed.
    bool mayBeLeaving = false;
};

class RequestQuarantine;

/// Marks a request's suspects as running at a server for as long as this object lives.
class TrialGuard {
public:
    TrialGuard(std::weak_ptr<RequestQuarantine>, std::vector<Trial>);
    ~TrialGuard();
    TrialGuard(const TrialGuard&) = delete;
    TrialGuard& operator=(const TrialGuard&) = delete;

private:
    std::weak_ptr<RequestQuarantine> quarantine_;
    std::vector<Trial> trials_;
};

/// A suspected or quarantined request, for operators.
struct SuspectSummary {
    RequestFingerprint request;
    Standing standing;
};

/// Recognizes requests that crash the servers that run them, and decides which requests may be sent. Used on one
/// thread.
class RequestQuarantine : public std::enable_shared_from_this<RequestQuarantine> {
public:
    struct Context {
        const framework::IClock& clock;
        framework::Metrics& metrics;
        /// Called when a request that has to wait may be admitted now.
        std::function<void()> didChange;
        /// Asks for a call of `admit` for the requests that wait, at this time.
        std::function<void(framework::Deadline)> wakeAt;
        /// Passes new evidence on to the other routers.
        std::function<void(const EvidenceUpdate&)> share;
        std::function<void(const framework::LogLine&)> log = framework::logDecision;
    };

    RequestQuarantine(Context, const QuarantineSettings&);

    void setSettings(const QuarantineSettings&);
    /// How many servers there are that may crash.
    void setServers(std::size_t servers) { servers_ = servers; }
    /// How many routers share evidence.
    void setRouters(std::size_t routers) { routers_ = routers; }

    /// Forgets what is too old. Called by all queries; needed only where there are none.
    void expire();
    /// Judges the evidence that has come since the last call. All queries do so too.
    void refresh();
    /// A suspected request that is admitted for a trial, or waits for its turn, is announced to the other routers.
    Admission admit(const RequestIdentity&);
    bool isQuarantined(const RequestIdentity&);
    std::size_t endedRuns() const { return evidence_.endedRuns(); }
    bool hasSuspects() const { return !evidence_.isEmpty(); }
    /// Returns what is known of a suspected request or part, or nullptr.
    const Standing* standing(const RequestFingerprint&);
    /// Whether the request or one of its parts is suspected.
    bool isSuspected(const RequestIdentity&);
    /// Returns which of the request and its parts is quarantined; std::nullopt if none is.
    std::optional<SuspectSummary> verdict(const RequestIdentity&);
    std::vector<SuspectSummary> suspects();
    /// Call when a request with the admission `Trial` is sent. Its copies wait until the returned object is destroyed,
    /// but no longer than a trial may take.
    std::unique_ptr<TrialGuard> beginTrial(const RequestIdentity&, const ServerRunId&);
    /// Whether this run of a server has crashed, or may have.
    bool mayHaveCrashed(const ServerRunId&) const;
    /// Whether a trial of another request runs at the server. If such servers are avoided, a crash points to one
    /// suspect only.
    bool hasOtherTrial(const ServerRunId&, const RequestIdentity&) const;
    /// Whether the request's next crash may decide on it, so that it must not share a server with another suspect.
    bool mustRunApart(const RequestIdentity&);

    void didCut(const CutRequest&);
    /// The connection ended with the answer, which states no length. That is a cut if the server proves to have ended.
    void didEndWithConnection(const CutRequest&);
    void didEndRun(const ServerRunId&, EndSign);
    /// A server answered a request that was sent at this time.
    void didAnswer(const ServerRunId&, framework::SteadyTime sentAt);
    /// A run of the request ended well.
    void didServe(const RequestIdentity&, const ServerRunId&);
    /// A run of the request has written part of its answer, and its server has gone on for long enough since: the parts
    /// of its prompt don't crash this server.
    void didSurvive(const RequestIdentity&, const ServerRunId&);
    /// Adds what other routers have seen.
    void merge(const EvidenceUpdate&);
    /// Returns whether the request was suspected.
    bool release(const RequestFingerprint&, const std::string& operatorName);

private:
    friend class TrialGuard;

    struct PossibleCut {
        CutRequest cut;
        framework::SteadyTime at {};
    };

    struct DueClearance {
        framework::Deadline at;
        ServerRunId server;
    };

    void addCut(const CutRequest&, framework::SteadyTime at);
    void addPossibleCuts(const ServerRunId&);
    bool isRefused(const RequestFingerprint&, const RequestIdentity&);
    bool isHeldBack(const RequestFingerprint&);
    bool isOwnTurn(const RequestFingerprint&);
    void endTrials(std::vector<Trial>);
    std::optional<ServerRunId> serverThatClears(const RequestFingerprint&, const ServerCrash&) const;
    void clearSurvivors(const ServerCrash&);
    void shareDueClearances();
    void add(const EvidenceUpdate&);
    bool clear(const Clearance&, const std::string& operatorName);
    void clearServed(const RequestFingerprint&, const ServerRunId&);
    void noteChange();
    void reportChanges(const Standings& before);
    bool isBeingTried(const RequestFingerprint&) const;

    Context context_;
    QuarantineSettings settings_;
    std::size_t servers_ = 1;
    std::size_t routers_ = 1;
    CrashEvidence evidence_;
    Standings standings_;
    /// This router's announced trials that haven't begun yet.
    std::map<RequestFingerprint, Trial> announced_;
    /// Answers that ended with their connections lately.
    std::deque<PossibleCut> possibleCuts_;
    SoundParts soundParts_;
    /// Clearances of parts that hold here already, and when to tell the other routers.
    std::map<RequestFingerprint, DueClearance> dueClearances_;
    /// Whether the evidence has changed since `standings_` was made.
    bool isStale_ = false;
    /// No new judgement before this time.
    framework::Deadline nextJudgement_;
    framework::Deadline nextExpiry_;
};

} // namespace lagoon::quarantine
