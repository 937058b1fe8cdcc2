#pragma once

#include "standins/proxy/chunkreader.h"
#include "standins/proxy/streamfaults.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace lagoon::standins {

/// Numbers of bytes.
struct StreamCounts {
    std::uint64_t delivered = 0;
    /// Received and waiting to be delivered.
    std::uint64_t held = 0;
    std::uint64_t discarded = 0;
};

/// Relays one direction of a proxied connection. One thread receives chunks, another delivers them when they are due.
class StreamRelay {
public:
    /// `cutConnection` closes the connection in both directions.
    StreamRelay(Direction, std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, Framing, StreamFaults&,
        std::function<void()> cutConnection);

    /// Receives chunks until the sender closes its direction.
    void receive();
    /// Delivers chunks until the end of the stream has been delivered, or the relay is stopped.
    void deliver();

    /// Holds back all further bytes and the end of the stream until `release`.
    void hold();
    void release();
    /// Discards all undelivered and further bytes and the end of the stream. Both ends still see an open
    /// connection, but the receiver gets no data.
    void blackhole();
    /// Ends `deliver` without delivering anything more.
    void stop();
    StreamCounts counts() const;

private:
    struct Chunk {
        std::string bytes;
        /// The time from which it may be delivered.
        framework::SteadyTime due;
        /// Whether this is the end of the stream. It has no bytes then.
        bool isEnd = false;
    };
    void queue(std::string bytes, bool isEnd);
    void swapOrQueue(std::string bytes);
    /// Blocks until a chunk is due. Returns nothing if the relay is stopped.
    std::optional<Chunk> next();
    /// Sends the bytes, or only a part of them if the answer is to be lost. Returns false if the connection is to be
    /// cut: after a failed write or a lost answer.
    bool send(const std::string& bytes);

    const Direction direction_;
    const std::shared_ptr<Socket> from_;
    const std::shared_ptr<Socket> to_;
    const Framing framing_;
    StreamFaults& faults_;
    const std::function<void()> cutConnection_;

    mutable std::mutex mutex_;
    std::condition_variable changed_;
    std::deque<Chunk> chunks_;
    /// A chunk that is to be queued after the next one.
    std::optional<std::string> swapChunk_;
    /// How many more bytes of the answer are delivered before it is lost; nothing if it isn't to be lost.
    std::optional<std::uint64_t> bytesUntilLoss_;
    bool isHeld_ = false;
    bool isBlackholed_ = false;
    bool isStopped_ = false;
    StreamCounts counts_;
};

} // namespace lagoon::standins
