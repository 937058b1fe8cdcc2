#include "quarantine/evidencerelay.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace lagoon::quarantine {

namespace {

using framework::Deadline;
using framework::Milliseconds;
using framework::SteadyTime;

constexpr Milliseconds updateInterval { 100 };
/// The greatest number of suspects, trials and clearances in one update.
constexpr std::size_t maxUpdateSize = 64;
/// Evidence that waits beyond this is dropped, the oldest first; others may have seen it too.
constexpr std::size_t maxWaiting = 4096;
/// The number of suspects that a process is told of when it comes.
constexpr std::size_t maxInitialSuspects = 2048;

template <typename Entry> void append(std::vector<Entry>& entries, const std::vector<Entry>& more)
{
    entries.insert(entries.end(), more.begin(), more.end());
    if (entries.size() > maxWaiting)
        entries.erase(entries.begin(), entries.end() - static_cast<std::ptrdiff_t>(maxWaiting));
}

/// Moves entries from the front as long as there is room.
template <typename Entry> std::vector<Entry> takeFront(std::vector<Entry>& entries, std::size_t& room)
{
    const std::size_t count = std::min(room, entries.size());
    const auto end = entries.begin() + static_cast<std::ptrdiff_t>(count);
    std::vector<Entry> taken(std::make_move_iterator(entries.begin()), std::make_move_iterator(end));
    entries.erase(entries.begin(), end);
    room -= count;
    return taken;
}

/// Removes as many suspects as there is room for, and returns the crash with these.
ServerCrash takeSuspects(ServerCrash& crash, std::size_t& room)
{
    const auto end
        = std::next(crash.suspects.begin(), static_cast<std::ptrdiff_t>(std::min(room, crash.suspects.size())));
    ServerCrash part = crash;
    part.suspects = { crash.suspects.begin(), end };
    room -= std::max<std::size_t>(1, part.suspects.size());
    crash.suspects.erase(crash.suspects.begin(), end);
    return part;
}

/// Clearances and trials go first: requests are held back for want of them.
EvidenceUpdate takePart(EvidenceUpdate& waiting)
{
    std::size_t room = maxUpdateSize;
    EvidenceUpdate part;
    part.clearances = takeFront(waiting.clearances, room);
    part.trials = takeFront(waiting.trials, room);
    auto crash = waiting.crashes.begin();
    for (; crash != waiting.crashes.end() && room > 0; ++crash) {
        part.crashes.push_back(takeSuspects(*crash, room));
        if (!crash->suspects.empty())
            break;
    }
    waiting.crashes.erase(waiting.crashes.begin(), crash);
    return part;
}

} // namespace

EvidenceUpdate EvidenceRelay::add(const EvidenceUpdate& update, SteadyTime now, PassOn passOn)
{
    evidence_.expire(now);
    EvidenceUpdate news = evidence_.merge(update, now);
    if (passOn == PassOn::No)
        return news;
    append(waiting_.crashes, news.crashes);
    append(waiting_.trials, news.trials);
    append(waiting_.clearances, news.clearances);
    return news;
}

EvidenceUpdate EvidenceRelay::takeUpdate(SteadyTime now)
{
    nextUpdate_ = Deadline::after(now, updateInterval);
    return takePart(waiting_);
}

std::vector<EvidenceUpdate> EvidenceRelay::everything(SteadyTime now)
{
    evidence_.expire(now);
    EvidenceUpdate rest = evidence_.newest(maxInitialSuspects);
    std::vector<EvidenceUpdate> parts;
    while (!rest.isEmpty())
        parts.push_back(takePart(rest));
    return parts;
}

} // namespace lagoon::quarantine
