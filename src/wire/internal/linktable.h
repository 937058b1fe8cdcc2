#pragma once

#include "framework/types/time.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace lagoon::wire {

class TcpLink;

/// What a link holds, and how the frame that it is receiving gets on.
struct LinkProgress {
    std::size_t queuedBytes = 0;
    std::size_t frameBytes = 0;
    /// When the last piece of the frame arrived.
    framework::SteadyTime progressAt {};
    /// Whether the frame isn't read on for want of room.
    bool isWaiting = false;
    /// Whether any message has been received.
    bool isProven = false;
};

/// All links of a transport. Limits how many there are, and the bytes that they hold together of unfinished frames and
/// of unsent ones: the links that make no progress, or have the most unsent bytes, are closed first. Thread-safe.
class LinkTable {
public:
    struct Limits {
        std::size_t links = 0;
        std::size_t frameBytes = 0;
        std::size_t queuedBytes = 0;
        framework::Milliseconds frameProgressTimeout {};
    };

    explicit LinkTable(const Limits& limits)
        : limits_(limits)
    {
    }

    /// Returns false if there is no room for a further link.
    bool add(const std::shared_ptr<TcpLink>&, framework::SteadyTime now);
    void remove(const TcpLink&);
    /// Reserves bytes for a piece of a link's frame. Returns false if there is no room for now. The frame of which most
    /// has been read may exceed the limit, so that one always goes on.
    bool reserve(const TcpLink&, std::size_t bytes, framework::SteadyTime now);
    void didReceivePiece(const TcpLink&, framework::SteadyTime now);
    void didReceiveFrame(const TcpLink&);
    /// Counts unsent bytes, and closes the links that have the most if there are too many.
    void didQueue(const TcpLink&, std::size_t bytes);
    void didSend(const TcpLink&, std::size_t bytes);
    /// Closes the links whose frames make no progress.
    void closeStalled(framework::SteadyTime now);

private:
    class ClosedLinks;

    struct Entry {
        std::weak_ptr<TcpLink> link;
        LinkProgress progress;
    };
    using Entries = std::map<const TcpLink*, Entry>;

    void close(Entries::iterator, ClosedLinks&);
    void forget(Entries::iterator);
    Entries::iterator leastProven();
    Entries::iterator mostStalled(const TcpLink& asking, framework::SteadyTime now);
    bool hasReadMost(Entries::const_iterator own) const;

    const Limits limits_;
    std::mutex mutex_;
    Entries entries_;
    std::size_t frameBytes_ = 0;
    std::size_t queuedBytes_ = 0;
};

} // namespace lagoon::wire
