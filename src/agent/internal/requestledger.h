#pragma once

#include "agent/iupstream.h"
#include "framework/types/error.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoon::agent {

/// Identifies a dispatch: a sequence number in the session of one router incarnation.
struct DispatchKey {
    framework::Incarnation router;
    std::uint64_t session = 0;
    framework::SequenceNumber sequence;

    friend auto operator<=>(const DispatchKey&, const DispatchKey&) = default;
};

/// The part of an answer received from the upstream so far, or the refusal in its place.
struct StoredAnswer {
    bool hasHead = false;
    unsigned short status = 0;
    HttpHeaders headers;
    std::string bytes;
    /// FNV-1a over `bytes`.
    std::uint64_t checksum = 0;
    std::optional<framework::Error> refusal;
};

struct LedgerLimits {
    std::size_t entries = 20000;
    std::size_t bytes = std::size_t(256) * 1024 * 1024;
    framework::Milliseconds forgetRouterAfter { 300000 };
};

enum class DispatchVerdict : std::uint8_t {
    Started, ///< a new id, which the caller must run
    AlreadyKnown, ///< a repeated frame, which the caller must ignore
};

enum class ResolveVerdict : std::uint8_t {
    Fenced, ///< the id was never seen and a late frame will be refused, so it is not run
    Running,
    Done,
};

/// Records each dispatch that this agent process has received, so that none runs twice and a dispatch reported as "not
/// run" never runs. See "The request ledger" in docs/DESIGN.md; the actions `dispatch`, `fence`, `resolve`, `settle`,
/// `complete` and `restart` have the same names as in its Promela model, models/dispatch.pml. Does no I/O and reads no
/// clock.
class RequestLedger {
public:
    /// Creates the empty ledger of a restarted process, which has a new incarnation. Frames addressed to the previous
    /// incarnation are refused; otherwise a late one could run again, since the empty ledger doesn't know its id.
    static RequestLedger restart(framework::Incarnation own, const LedgerLimits&);

    /// Returns the session of a router process: the same for all its links, as long as the ledger keeps it.
    std::uint64_t openSession(framework::Incarnation router, framework::SteadyTime now);
    /// Track how many links a router has open; only sessions without a link are ever dropped.
    void linkOpened(framework::Incarnation router);
    void linkClosed(framework::Incarnation router, framework::SteadyTime now);

    /// Records a new id as running. An error is a refusal, which states whether the id is known not to have run.
    framework::Result<DispatchVerdict> dispatch(
        const DispatchKey&, framework::Incarnation agentIncarnation, framework::SequenceNumber floor);
    /// Marks an unseen id so that it will never run; known ids are left unchanged.
    void fence(const DispatchKey&);
    /// Returns the state of the id; an unseen id is fenced.
    framework::Result<ResolveVerdict> resolve(
        const DispatchKey&, framework::Incarnation agentIncarnation, framework::SequenceNumber floor);
    /// Drops the entries below the floor, whose answers the router no longer needs; running ones become abandoned.
    void settle(framework::Incarnation router, std::uint64_t session, framework::SequenceNumber floor);
    /// Marks the answer as complete, or stores the refusal in its place.
    void complete(const DispatchKey&, std::optional<framework::Error> refusal);

    void storeHead(const DispatchKey&, unsigned short status, HttpHeaders);
    void storeBytes(const DispatchKey&, const std::string& bytes);

    /// Drops sessions whose router has had no link for `forgetRouterAfter`.
    void forgetDisconnectedRouters(framework::SteadyTime now);
    /// Returns running ids that no router waits for any more and that must be stopped; each id is returned once.
    std::vector<DispatchKey> takeAbandoned();

    bool isRunning(const DispatchKey&) const;
    /// Null if the id is neither running nor done.
    const StoredAnswer* answer(const DispatchKey&) const;
    std::size_t entries() const { return entries_; }
    std::size_t bytes() const { return bytes_; }
    std::size_t sessions() const { return sessions_.size(); }

private:
    enum class EntryState : std::uint8_t { Running, Done, Fenced };

    struct Entry {
        EntryState state = EntryState::Running;
        StoredAnswer answer;
    };

    struct Session {
        std::uint64_t number = 0;
        framework::SequenceNumber floor;
        std::map<framework::SequenceNumber, Entry> entries;
        std::uint32_t links = 0;
        framework::Deadline forgetAt;
    };

    RequestLedger(framework::Incarnation own, const LedgerLimits&);
    framework::Result<Session*> sessionFor(const DispatchKey&, framework::Incarnation agentIncarnation);
    const Entry* find(const DispatchKey&) const;
    Entry* findRunning(const DispatchKey&);
    void raiseFloor(framework::Incarnation router, Session&, framework::SequenceNumber floor);
    void removeFromTotals(const Entry&);

    framework::Incarnation own_;
    LedgerLimits limits_;
    std::uint64_t nextSession_;
    std::map<framework::Incarnation, Session> sessions_;
    std::set<DispatchKey> abandoned_;
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace lagoon::agent
