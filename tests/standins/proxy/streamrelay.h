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

struct StreamCounts {
    std::uint64_t delivered = 0;
    std::uint64_t held = 0;
    std::uint64_t discarded = 0;
};

/// One direction of a proxied connection: a thread takes pieces in, another delivers them when they are due.
class StreamRelay {
public:
    /// `cutConnection` ends the whole connection.
    StreamRelay(Direction, std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, Framing, StreamFaults&,
        std::function<void()> cutConnection);

    /// Blocks until the sender has ended.
    void receive();
    /// Blocks until the end has been delivered.
    void deliver();

    /// Keeps everything from now on, also the sender's end, until `release`.
    void hold();
    void release();
    /// Swallows everything from now on, also the sender's end: both ends find the connection open and silent.
    void blackhole();
    /// Delivers nothing more.
    void stop();
    StreamCounts counts() const;

private:
    struct Chunk {
        std::string bytes;
        framework::SteadyTime due;
        bool isEnd = false;
    };
    void queue(std::string bytes, bool isEnd);
    void swapOrQueue(std::string bytes);
    /// The next due piece, or nothing when stopped.
    std::optional<Chunk> next();
    /// What of the bytes goes on; ends the connection when the answer is lost.
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
    std::optional<std::string> swapChunk_;
    std::optional<std::uint64_t> bytesUntilLoss_;
    bool isHeld_ = false;
    bool isBlackholed_ = false;
    bool isStopped_ = false;
    StreamCounts counts_;
};

} // namespace lagoon::standins
