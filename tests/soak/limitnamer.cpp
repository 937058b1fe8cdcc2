#include "soak/limitnamer.h"

#include <algorithm>

namespace lagoon::soak {

namespace {

using framework::Milliseconds;
using framework::SteadyTime;

/// What a server that names a limit is promised: from this time on, in each window of this length, at most one and a
/// half times what the limit allows and a few requests more.
constexpr Milliseconds noticeTime { 3000 };
constexpr Milliseconds window { 4000 };
constexpr double excess = 1.5;
constexpr double slack = 5;
constexpr std::uint64_t stepsPerChange = 6;
/// Limits are drawn from 0 to this, in halves.
constexpr std::uint64_t maxHalves = 12;

SteadyTime now() { return std::chrono::steady_clock::now(); }

double allowedInWindow(double perSecond)
{
    return perSecond * excess * std::chrono::duration<double>(window).count() + slack;
}

} // namespace

LimitNamer::LimitNamer(fleet::Fleet& fleet, RunLog& runLog)
    : fleet_(fleet)
    , runLog_(runLog)
{
    for (fleet::ServerStandin* const server :
        std::initializer_list<fleet::ServerStandin*> { &fleet_.plain1, &fleet_.engine1 }) {
        current_.push_back({ server, 0, now(), now() });
        set(current_.size() - 1, 1);
    }
}

void LimitNamer::set(std::size_t index, double perSecond)
{
    Period& period = current_[index];
    period.perSecond = perSecond;
    period.from = now();
    std::string text = std::to_string(perSecond);
    period.server->setLimit(text);
    runLog_.note(period.server->instance() + " names a limit of " + text);
}

void LimitNamer::end(Period& period)
{
    period.to = now();
    ended_.push_back(period);
}

void LimitNamer::perform()
{
    if (runLog_.draw(stepsPerChange) != 0)
        return;
    const std::size_t index = runLog_.draw(current_.size());
    end(current_[index]);
    set(index, static_cast<double>(runLog_.draw(maxHalves)) / 2);
}

void LimitNamer::stop()
{
    for (Period& period : current_) {
        end(period);
        period.server->setLimit("");
    }
}

void LimitNamer::check() const
{
    for (const Period& period : ended_) {
        std::vector<SteadyTime> arrivals = period.server->arrivals();
        std::erase_if(arrivals, [&](SteadyTime at) { return at < period.from + noticeTime || at > period.to; });
        std::sort(arrivals.begin(), arrivals.end());
        std::ptrdiff_t most = 0;
        for (auto first = arrivals.begin(); first != arrivals.end(); ++first)
            most = std::max(most, std::lower_bound(first, arrivals.end(), *first + window) - first);
        if (static_cast<double>(most) > allowedInWindow(period.perSecond))
            runLog_.fail(period.server->instance() + " got " + std::to_string(most) + " requests in 4 s at a limit of "
                + std::to_string(period.perSecond));
    }
}

} // namespace lagoon::soak
