#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "notices/noticetable.h"
#include "objectstore/objectmirror.h"

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
    /// Forgets what is known of servers that have been removed for some time.
    void expire(framework::SteadyTime now);

    /// Marks the entries of services that the configuration doesn't have. Returns whether a mark has changed.
    bool markUnknownServices(const catalog::Configuration&);
    /// Confirms the unconfirmed servers of services that have no other.
    void confirmWhereNeeded(framework::SteadyTime now);
    /// Returns the newest confirmed server at each address.
    std::vector<catalog::Upstream> servers(framework::SteadyTime now) const;
    /// Returns when the result of `servers` changes next without a change of an entry.
    std::optional<framework::Deadline> nextConfirmation(framework::SteadyTime now) const;

private:
    struct Entry {
        /// std::nullopt if the newest content doesn't describe a server, or if the entry was removed.
        std::optional<catalog::Upstream> upstream;
        /// The latest start time that was accepted for this entry.
        std::optional<catalog::StartTime> started;
        /// The server's own count in the newest content of the run that began at `started`.
        std::uint64_t updates = 0;
        /// The entry isn't used, as the configuration doesn't have its service.
        bool isOfUnknownService = false;
        /// Set while the entry isn't listed.
        std::optional<Removal> removal;
        framework::Deadline forgetAt;
        /// The entry may have been written before its server left, as long as nothing has renewed it until then.
        framework::Deadline confirmedAt;
    };

    static framework::Result<catalog::Upstream> checked(framework::Result<catalog::Upstream>, const Entry& before);
    static bool isLate(const catalog::Upstream&, const Entry&);
    void applyLate(const objectstore::FeedObject&, Entry&, const catalog::Upstream&, framework::SteadyTime now);
    void keepDraining(catalog::Upstream&, framework::SteadyTime now);
    void noteDraining(const catalog::UpstreamRun&, framework::SteadyTime now);
    framework::Deadline confirmationOf(
        const std::string& name, const Entry&, const catalog::Upstream&, framework::SteadyTime now) const;

    framework::Milliseconds heartbeat_;
    std::map<std::string, Entry> entries_;
    /// The runs whose entries have said that they drain. A run never becomes ready again.
    notices::NoticeTable drainingRuns_;
};

} // namespace lagoon::direct
