#include "wire/internal/linktable.h"

#include "wire/internal/tcplink.h"

#include <algorithm>
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
    entries_[link.get()] = { link, { .progressAt = now } };
    return true;
}

void LinkTable::remove(const TcpLink& link)
{
    const std::lock_guard lock(mutex_);
    const auto found = entries_.find(&link);
    if (found == entries_.end())
        return;
    forget(found);
}

bool LinkTable::reserve(const TcpLink& link, std::size_t bytes, framework::SteadyTime now)
{
    ClosedLinks closed("memory needed for other frames");
    const std::lock_guard lock(mutex_);
    const auto own = entries_.find(&link);
    if (own == entries_.end())
        return false;
    LinkProgress& progress = own->second.progress;
    while (frameBytes_ + bytes > limits_.frameBytes) {
        const auto stalled = mostStalled(link, now);
        if (stalled != entries_.end()) {
            close(stalled, closed);
            continue;
        }
        // Prevents all from waiting for each other.
        progress.isWaiting = !hasReadMost(own);
        if (progress.isWaiting)
            return false;
        break;
    }
    if (std::exchange(progress.isWaiting, false) || progress.frameBytes == 0)
        progress.progressAt = now;
    frameBytes_ += bytes;
    progress.frameBytes += bytes;
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

void LinkTable::didQueue(const TcpLink& link, std::size_t bytes)
{
    ClosedLinks closed("the peer reads too slowly");
    const std::lock_guard lock(mutex_);
    const auto own = entries_.find(&link);
    if (own == entries_.end())
        return;
    own->second.progress.queuedBytes += bytes;
    queuedBytes_ += bytes;
    while (queuedBytes_ > limits_.queuedBytes) {
        const auto most = std::max_element(entries_.begin(), entries_.end(), [](const auto& left, const auto& right) {
            return left.second.progress.queuedBytes < right.second.progress.queuedBytes;
        });
        close(most, closed);
    }
}

void LinkTable::didSend(const TcpLink& link, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    const auto own = entries_.find(&link);
    if (own == entries_.end())
        return;
    own->second.progress.queuedBytes -= bytes;
    queuedBytes_ -= bytes;
}

void LinkTable::closeStalled(framework::SteadyTime now)
{
    ClosedLinks closed("frame too slow");
    const std::lock_guard lock(mutex_);
    for (auto entry = entries_.begin(); entry != entries_.end();) {
        const auto next = std::next(entry);
        const LinkProgress& progress = entry->second.progress;
        if (progress.frameBytes > 0 && !progress.isWaiting && now - progress.progressAt > limits_.frameProgressTimeout)
            close(entry, closed);
        entry = next;
    }
}

void LinkTable::close(Entries::iterator entry, ClosedLinks& closed)
{
    closed.add(entry->second.link.lock());
    forget(entry);
}

void LinkTable::forget(Entries::iterator entry)
{
    frameBytes_ -= entry->second.progress.frameBytes;
    queuedBytes_ -= entry->second.progress.queuedBytes;
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
        const bool isStalled = progress.frameBytes > 0 && !progress.isWaiting && now - progress.progressAt >= stallTime;
        if (entry->first == &asking || !isStalled)
            continue;
        if (most == entries_.end() || progress.progressAt < most->second.progress.progressAt)
            most = entry;
    }
    return most;
}

bool LinkTable::hasReadMost(Entries::const_iterator own) const
{
    return std::none_of(entries_.begin(), entries_.end(), [own](const auto& other) {
        const std::size_t bytes = other.second.progress.frameBytes;
        const std::size_t ownBytes = own->second.progress.frameBytes;
        return bytes > ownBytes || (bytes == ownBytes && other.first < own->first);
    });
}

} // namespace lagoon::wire
