#include "wire/internal/linktable.h"

#include "wire/internal/tcplink.h"

#include <iterator>
#include <utility>
#include <vector>

namespace lagoon::wire {

namespace {

/// A frame whose last piece is older makes room for others.
constexpr framework::Milliseconds stallTime { 2000 };

} // namespace

/// Closes links when it is destroyed, which has to be after the table's lock is released: a link whose last reference
/// this is removes itself from the table.
class LinkTable::ClosedLinks {
public:
    explicit ClosedLinks(const char* reason)
        : reason_(reason)
    {
    }
    ~ClosedLinks()
    {
        for (const auto& link : links_) {
            if (link)
                link->failFor(reason_);
        }
    }
    ClosedLinks(const ClosedLinks&) = delete;
    ClosedLinks& operator=(const ClosedLinks&) = delete;

    void add(std::shared_ptr<TcpLink> link) { links_.push_back(std::move(link)); }

private:
    const char* reason_;
    std::vector<std::shared_ptr<TcpLink>> links_;
};

bool LinkTable::add(const std::shared_ptr<TcpLink>& link, framework::SteadyTime now)
{
    ClosedLinks closed("too many links");
    const std::lock_guard lock(mutex_);
    if (entries_.size() >= limits_.links) {
        const auto least = leastProven();
        if (least == entries_.end())
            return false;
        close(least, closed);
    }
    entries_[link.get()] = { link, { 0, now, false } };
    return true;
}

void LinkTable::remove(const TcpLink& link)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(&link);
    if (found == entries_.end())
        return;
    frameBytes_ -= found->second.progress.frameBytes;
    entries_.erase(found);
}

bool LinkTable::reserve(const TcpLink& link, std::size_t bytes, framework::SteadyTime now)
{
    ClosedLinks closed("memory needed for other frames");
    const std::lock_guard lock(mutex_);
    while (frameBytes_ + bytes > limits_.frameBytes) {
        const auto stalled = mostStalled(link, now);
        if (stalled == entries_.end())
            return false;
        close(stalled, closed);
    }
    const auto own = entries_.find(&link);
    if (own == entries_.end())
        return false;
    frameBytes_ += bytes;
    own->second.progress.frameBytes += bytes;
    return true;
}

void LinkTable::didReceivePiece(const TcpLink& link, framework::SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    const auto own = entries_.find(&link);
    if (own != entries_.end())
        own->second.progress.progressAt = now;
}

void LinkTable::didReceiveFrame(const TcpLink& link)
{
    const std::lock_guard lock(mutex_);
    const auto own = entries_.find(&link);
    if (own == entries_.end())
        return;
    frameBytes_ -= own->second.progress.frameBytes;
    own->second.progress.frameBytes = 0;
    own->second.progress.isProven = true;
}

void LinkTable::closeStalled(framework::SteadyTime now)
{
    ClosedLinks closed("frame too slow");
    const std::lock_guard lock(mutex_);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        const LinkProgress& progress = entry->second.progress;
        if (progress.frameBytes > 0 && now - progress.progressAt > limits_.frameProgressTimeout)
            close(entry, closed);
        entry = next;
    }
}

void LinkTable::close(Entries::iterator entry, ClosedLinks& closed)
{
    frameBytes_ -= entry->second.progress.frameBytes;
    closed.add(entry->second.link.lock());
    entries_.erase(entry);
}

/// Returns the link that has existed for longest among those that have received no message.
LinkTable::Entries::iterator LinkTable::leastProven()
{
    auto least = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        const LinkProgress& progress = entry->second.progress;
        if (progress.isProven)
            continue;
        if (least == entries_.end() || progress.progressAt < least->second.progress.progressAt)
            least = entry;
    }
    return least;
}

LinkTable::Entries::iterator LinkTable::mostStalled(const TcpLink& asking, framework::SteadyTime now)
{
    auto most = entries_.end();
    for (auto entry = entries_.begin(); entry != entries_.end(); ++entry) {
        const LinkProgress& progress = entry->second.progress;
        if (entry->first == &asking || progress.frameBytes == 0 || now - progress.progressAt < stallTime)
            continue;
        if (most == entries_.end() || progress.progressAt < most->second.progress.progressAt)
            most = entry;
    }
    return most;
}

} // namespace lagoon::wire
