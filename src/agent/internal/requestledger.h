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

/// Names a dispatch: an entry of one router incarnation's session.
struct DispatchKey {
    framework::Incarnation router;
    std::uint64_t session = 0;
    framework::SequenceNumber sequence;

    friend auto operator<=>(const DispatchKey&, const DispatchKey&) = default;
};

/// As much of an answer as the upstream has given, or the refusal in its place.
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
    Started, ///< new: run it
    AlreadyKnown, ///< the same frame again: ignore it
};

enum class ResolveVerdict : std::uint8_t {
    Fenced, ///< it was never seen, and a late frame will be refused: not run
    Running,
    Done,
};

/// What this agent process knows of each dispatch, so that none runs twice and "not run" is true. See "The request
/// ledger" in DESIGN.md; the actions `dispatch`, `fence`, `resolve`, `settle`, `complete` and `restart` bear the names
/// that the model under models/ uses. Pure: no I/O, no clock.
class RequestLedger {
public:
    /// What a restarted process begins with: nothing known, under a new incarnation. Frames meant for the former one
    /// are refused, so that a late one can't run in the empty ledger.
    static RequestLedger restart(framework::Incarnation own, const LedgerLimits&);

    /// The session of this router process: the same for all its links while the ledger remembers it.
    std::uint64_t openSession(framework::Incarnation router, framework::SteadyTime now);
    /// A router's link opened or closed; only sessions without a link are ever forgotten.
    void linkOpened(framework::Incarnation router);
    void linkClosed(framework::Incarnation router, framework::SteadyTime now);

    /// Enters a new id as running. The error is a refusal and says whether it is known not to have run.
    framework::Result<DispatchVerdict> dispatch(
        const DispatchKey&, framework::Incarnation agentIncarnation, framework::SequenceNumber floor);
    /// Makes an unseen id one that will never run; others are left alone.
    void fence(const DispatchKey&);
    /// What became of the id; an unseen one is fenced.
    framework::Result<ResolveVerdict> resolve(
        const DispatchKey&, framework::Incarnation agentIncarnation, framework::SequenceNumber floor);
    /// Forgets the answers below the floor.
    void settle(framework::Incarnation router, std::uint64_t session, framework::SequenceNumber floor);
    /// The answer is whole, or the refusal stands in its place.
    void complete(const DispatchKey&, std::optional<framework::Error> refusal);

    void storeHead(const DispatchKey&, unsigned short status, HttpHeaders);
    void storeBytes(const DispatchKey&, const std::string& bytes);

    /// Drops sessions whose router has had no link for long.
    void forgetDisconnectedRouters(framework::SteadyTime now);
    /// Running ids for which no router waits any more, each given once: stop them.
    std::vector<DispatchKey> takeAbandoned();

    bool isRunning(const DispatchKey&) const;
    /// Null if the id isn't running or done.
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
    void forget(const Entry&);

    framework::Incarnation own_;
    LedgerLimits limits_;
    std::uint64_t nextSession_;
    std::map<framework::Incarnation, Session> sessions_;
    std::set<DispatchKey> abandoned_;
    std::size_t entries_ = 0;
    std::size_t bytes_ = 0;
};

} // namespace lagoon::agent
