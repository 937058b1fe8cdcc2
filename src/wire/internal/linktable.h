#pragma once

#include "framework/types/time.h"

#include <atomic>
#include <cstddef>
#include <map>
#include <memory>
#include <mutex>

namespace lagoon::wire {

class TcpLink;

/// What a link holds of the frame that it is receiving, and how that gets on.
struct LinkProgress {
    std::size_t frameBytes = 0;
    /// When the last piece of the frame arrived.
    framework::SteadyTime progressAt {};
    /// Whether any message has been received.
    bool isProven = false;
};

/// All links of a transport. Limits how many there are, and the bytes of unfinished frames that they hold together: the
/// links that make no progress are closed first. Thread-safe.
class LinkTable {
public:
    struct Limits {
        std::size_t links = 0;
        std::size_t frameBytes = 0;
        framework::Milliseconds frameProgressTimeout {};
    };

    explicit LinkTable(const Limits& limits)
        : limits_(limits)
    {
    }

    /// Returns false if there is no room for a further link.
    bool add(const std::shared_ptr<TcpLink>&, framework::SteadyTime now);
    void remove(const TcpLink&);
    /// Reserves bytes for a piece of a link's frame. Returns false if there is no room for now.
    bool reserve(const TcpLink&, std::size_t bytes, framework::SteadyTime now);
    void didReceivePiece(const TcpLink&, framework::SteadyTime now);
    void didReceiveFrame(const TcpLink&);
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
    Entries::iterator leastProven();
    Entries::iterator mostStalled(const TcpLink& asking, framework::SteadyTime now);

    const Limits limits_;
    std::mutex mutex_;
    Entries entries_;
    std::size_t frameBytes_ = 0;
};

} // namespace lagoon::wire
