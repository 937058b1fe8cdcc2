#pragma once

#include "catalog/types/configuration.h"
#include "catalog/types/upstream.h"
#include "framework/types/error.h"
#include "objectstore/iobjectfeed.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::direct {

/// The entries of the platform's list of servers, and the servers that they name. Does no I/O and reads no clock.
class ServerEntries {
public:
    /// Applies the newest content of an entry: if it couldn't be read, the entry names no server any more.
    void apply(const objectstore::FeedObject&, framework::Result<catalog::Upstream> read);
    void remove(const std::string& name);

    /// Marks the entries of services that the configuration doesn't have. Returns whether a mark has changed.
    bool markUnknownServices(const catalog::Configuration&);
    /// Returns the newest server at each address.
    std::vector<catalog::Upstream> servers() const;

private:
    struct Entry {
        /// std::nullopt if the newest content doesn't describe a server.
        std::optional<catalog::Upstream> upstream;
        /// The latest start time that was accepted for this entry.
        std::optional<catalog::StartTime> started;
        /// The entry isn't used, as the configuration doesn't have its service.
        bool isOfUnknownService = false;
    };

    static framework::Result<catalog::Upstream> checked(framework::Result<catalog::Upstream>, const Entry& before);
    static void applyDraining(Entry&, const catalog::Upstream& earlier);

    std::map<std::string, Entry> entries_;
};

} // namespace lagoon::direct
