#pragma once

#include "catalog/types/upstream.h"
#include "framework/types/time.h"
#include "notices/types/servernotice.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>

namespace lagoon::notices {

/// What servers have said about whether they take further requests. It is kept apart from what the platform's list says
/// of them, so that neither an outdated entry nor a new one brings a server back that said that it leaves. Does no I/O
/// and reads no clock.
class NoticeTable {
public:
    /// What a notice added to what was known.
    struct News {
        bool leaves = false;
        bool restsLonger = false;
    };

    News add(const catalog::UpstreamRun&, const ServerNotice&, framework::SteadyTime now);
    /// A later run under the same id isn't bound by what an earlier one has said.
    bool isLeaving(const catalog::UpstreamRun&) const;
    /// Until when the server wants no requests; a time in the past if it doesn't rest.
    framework::Deadline restsUntil(const catalog::UpstreamRun&) const;
    bool isResting(const catalog::UpstreamRun& run, framework::SteadyTime now) const
    {
        return !restsUntil(run).hasPassed(now);
    }
    /// Forgets servers that haven't been listed or heard for some time.
    void expire(const std::function<bool(const catalog::InstanceId&)>& isListed, framework::SteadyTime now);
    bool isEmpty() const { return servers_.empty(); }
    std::size_t size() const { return servers_.size(); }

private:
    struct Statement {
        /// The latest run that is known to have said something.
        std::optional<catalog::StartTime> started;
        bool isLeaving = false;
        framework::Deadline restsUntil;
        framework::Deadline keptUntil;
    };

    const Statement* find(const catalog::UpstreamRun&) const;
    Statement& statementOf(const catalog::UpstreamRun&);
    void makeRoom();

    std::map<catalog::InstanceId, Statement> servers_;
};

} // namespace lagoon::notices
