#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "objectstore/objectmirror.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace lagoon::direct {

/// The entries of the platform's list of servers, and the servers that they name. The store may execute a server's
/// write seconds late, after newer ones and after the entry's removal. What the list has said of a server is therefore
/// remembered, and isn't taken back by an older entry. Does no I/O and reads no clock.
class ServerEntries {
public:
    /// `heartbeat` is the interval in which a server renews its entry.
    explicit ServerEntries(framework::Milliseconds heartbeat)
        : heartbeat_(heartbeat)
    {
    }

    /// Applies the newest content of an entry: if it couldn't be read, the entry names no server any more.
    void apply(const objectstore::FeedObject&, framework::Result<catalog::Upstream> read, framework::SteadyTime now);

    using Removal = objectstore::ObjectMirror::Removal;
    void remove(const std::string& name, Removal, framework::SteadyTime now);
    /// Decides about contents that may be older than what the list has said before, if the platform and the servers
    /// have had the time to replace them. `confirmedAt` is a time as of which the entries are known to be current, and
    /// `answeringSince` when the last outage of the store ended. Returns whether anything has changed.
    bool decide(framework::SteadyTime confirmedAt, framework::SteadyTime answeringSince);
    /// Uses servers about which nothing is decided yet, if their services have no others.
    void confirmWhereNeeded();
    /// Forgets servers that were removed long ago.
    void forgetRemoved(framework::SteadyTime now);

    /// Marks the entries of services that the configuration doesn't have. Returns whether a mark has changed.
    bool markUnknownServices(const catalog::Configuration&);
    /// Returns the newest confirmed server at each address.
    std::vector<catalog::Upstream> servers() const;
    /// The number of entries that are kept, with those of removed servers.
    std::size_t size() const { return entries_.size(); }

private:
    /// Limits, in bytes, for the names of models and adapters that entries list: of one entry, and of all.
    static constexpr std::size_t maxNamesOfEntry = std::size_t(64) * 1024;
    static constexpr std::size_t maxNames = std::size_t(4) * 1024 * 1024;

    struct LateContent {
        objectstore::FeedObject object;
        catalog::Upstream upstream;
        framework::SteadyTime heardAt {};
    };

    struct Entry {
        /// std::nullopt if the newest content doesn't describe a server, or if the entry was removed.
        std::optional<catalog::Upstream> upstream;
        /// The latest start time that was accepted for this entry.
        std::optional<catalog::StartTime> started;
        /// The server's own count in the newest content of the run that began at `started`.
        std::uint64_t updates = 0;
        /// The run that began at `started` has said that it drains. It never becomes ready again.
        bool hasDrained = false;
        /// The entry isn't used, as the configuration doesn't have its service.
        bool isOfUnknownService = false;
        /// Set while the entry isn't listed.
        std::optional<Removal> removal;
        framework::Deadline forgetAt;
        /// The newest content, if it seems older than what the entry has held before.
        std::optional<LateContent> late;
        /// Set if the entry was removed and written again, which may be a write from before its server left.
        std::optional<framework::SteadyTime> unconfirmedSince;
        /// Of the names in `upstream` and `late`.
        std::size_t nameBytes = 0;
    };

    static framework::Result<catalog::Upstream> checked(framework::Result<catalog::Upstream>, const Entry& before);
    void limitNames(const std::string& name, const Entry&, catalog::Upstream&) const;
    void countNames(Entry&);
    static bool isLate(const catalog::Upstream&, const Entry&);
    void accept(const objectstore::FeedObject&, Entry&, catalog::Upstream, framework::SteadyTime now);
    void holdLate(const objectstore::FeedObject&, Entry&, catalog::Upstream, framework::SteadyTime now);
    std::optional<framework::SteadyTime> unconfirmedSince(
        const std::string& name, const Entry&, const catalog::Upstream&, framework::SteadyTime now) const;

    framework::Milliseconds heartbeat_;
    std::map<std::string, Entry> entries_;
    /// Of all entries.
    std::size_t nameBytes_ = 0;
};

} // namespace lagoon::direct
