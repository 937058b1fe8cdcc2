#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "framework/types/error.h"
#include "framework/types/time.h"
#include "notices/noticetable.h"
#include "objectstore/iobjectfeed.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::direct {

/// The entries of the platform's list of servers, and the servers that they name. The store may execute a server's
/// write seconds late, after newer ones and after the entry's removal. What the list has said of a server is therefore
/// remembered, and isn't taken back by an older entry. Does no I/O and reads no clock.
class ServerEntries {
public:
    /// Applies the newest content of an entry: if it couldn't be read, the entry names no server any more.
    void apply(const objectstore::FeedObject&, framework::Result<catalog::Upstream> read, framework::SteadyTime now);

    void remove(const std::string& name, framework::SteadyTime now);
    /// Forgets what is known of servers that have been removed for some time.
    void expire(framework::SteadyTime now);

    /// Marks the entries of services that the configuration doesn't have. Returns whether a mark has changed.
    bool markUnknownServices(const catalog::Configuration&);
    /// Returns the newest server at each address.
    std::vector<catalog::Upstream> servers() const;

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
        std::optional<framework::Deadline> forgetAt;
    };

    static framework::Result<catalog::Upstream> checked(framework::Result<catalog::Upstream>, const Entry& before);
    static bool isLate(const catalog::Upstream&, const Entry&);
    void applyLate(const objectstore::FeedObject&, Entry&, const catalog::Upstream&, framework::SteadyTime now);
    void keepDraining(catalog::Upstream&, framework::SteadyTime now);
    void noteDraining(const catalog::UpstreamRun&, framework::SteadyTime now);

    std::map<std::string, Entry> entries_;
    /// The runs whose entries have said that they drain. A run never becomes ready again.
    notices::NoticeTable drainingRuns_;
};

} // namespace lagoon::direct
