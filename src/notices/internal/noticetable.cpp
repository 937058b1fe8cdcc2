#include "notices/noticetable.h"

#include <algorithm>

namespace lagoon::notices {

namespace {

using catalog::UpstreamRun;
using framework::Deadline;
using framework::SteadyTime;

/// A server that leaves may stay out of the list for this time and come back as the same run.
constexpr framework::Milliseconds retention { 3600 * 1000 };
constexpr std::size_t maxServers = 4096;

/// Whether the run is known to have begun after the other one. Runs whose start isn't known may be the same.
bool isLater(const std::optional<catalog::StartTime>& run, const std::optional<catalog::StartTime>& other)
{
    return run && other && *run > *other;
}

} // namespace

NoticeTable::News NoticeTable::add(const UpstreamRun& run, const ServerNotice& notice, SteadyTime now)
{
    const bool isRest = notice.rest && notice.rest->count() > 0;
    if (!notice.isLeaving && !isRest)
        return {};
    Statement& statement = statementOf(run);
    // An answer of an earlier run that was late on its way.
    if (isLater(statement.started, run.started))
        return {};
    News news;
    news.leaves = notice.isLeaving && !statement.isLeaving;
    statement.isLeaving = statement.isLeaving || notice.isLeaving;
    const Deadline restsUntil = isRest ? Deadline::after(now, *notice.rest) : Deadline();
    news.restsLonger = restsUntil > statement.restsUntil;
    statement.restsUntil = std::max(statement.restsUntil, restsUntil);
    statement.keptUntil = Deadline::after(now, retention);
    return news;
}

NoticeTable::Statement& NoticeTable::statementOf(const UpstreamRun& run)
{
    const auto known = servers_.find(run.instance);
    if (known == servers_.end()) {
        makeRoom();
        Statement& added = servers_[run.instance];
        added.started = run.started;
        return added;
    }
    Statement& statement = known->second;
    if (isLater(run.started, statement.started))
        statement = Statement();
    if (!statement.started)
        statement.started = run.started;
    return statement;
}

void NoticeTable::makeRoom()
{
    if (servers_.size() < maxServers)
        return;
    servers_.erase(std::min_element(servers_.begin(), servers_.end(),
        [](const auto& left, const auto& right) { return left.second.keptUntil < right.second.keptUntil; }));
}

const NoticeTable::Statement* NoticeTable::find(const UpstreamRun& run) const
{
    const auto known = servers_.find(run.instance);
    return known == servers_.end() || isLater(run.started, known->second.started) ? nullptr : &known->second;
}

bool NoticeTable::isLeaving(const UpstreamRun& run) const
{
    const Statement* const statement = find(run);
    return statement && statement->isLeaving;
}

Deadline NoticeTable::restsUntil(const UpstreamRun& run) const
{
    const Statement* const statement = find(run);
    return statement ? statement->restsUntil : Deadline();
}

void NoticeTable::expire(const std::function<bool(const catalog::InstanceId&)>& isListed, SteadyTime now)
{
    for (auto& [instance, statement] : servers_) {
        if (isListed(instance))
            statement.keptUntil = Deadline::after(now, retention);
    }
    std::erase_if(servers_, [now](const auto& entry) {
        return entry.second.keptUntil.hasPassed(now) && entry.second.restsUntil.hasPassed(now);
    });
}

} // namespace lagoon::notices
