#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <utility>

namespace lagoon::http {

/// Limits the bytes of requests and answers that a process holds in memory. Thread-safe.
class ByteBudget {
public:
    struct Limits {
        std::size_t total = 0;
        /// Of all requests, so that there is room for the answers to them.
        std::size_t requests = 0;
        /// Of the requests of one caller and the answers of one server, so that there is room for others.
        std::size_t caller = 0;
        std::size_t server = 0;
    };
    /// The peer of a request is its caller, that of an answer its server.
    enum class Use : std::uint8_t { Request, Answer };

    /// The peer of answers that their callers haven't read yet. Not the name of a server.
    static constexpr const char* unreadAnswers = "unread answers";

    explicit ByteBudget(const Limits& limits)
        : limits_(limits)
    {
    }

    /// Sets what releases bytes of unread answers if more are needed, and returns false if there are none to release.
    /// It is called on the thread that acquires. Call this before the first `acquire`.
    void setReclaimer(std::function<bool()> reclaim) { reclaim_ = std::move(reclaim); }
    enum class Limit : std::uint8_t { None, Total, Requests, Peer };
    /// Returns the limit for which it acquires nothing, if fewer bytes are left.
    Limit acquire(Use, const std::string& peer, std::size_t bytes);
    /// Acquires bytes that are in memory anyway, even above the limits.
    void acquireAnyway(Use, const std::string& peer, std::size_t bytes);
    void release(Use, const std::string& peer, std::size_t bytes);
    std::size_t used() const;

private:
    Limit tryAcquire(Use, const std::string& peer, std::size_t bytes);
    void add(Use, const std::string& peer, std::size_t bytes);
    bool isAboveShareLocked(Use, const std::string& peer, std::size_t bytes) const;

    const Limits limits_;
    std::function<bool()> reclaim_;
    mutable std::mutex mutex_;
    std::size_t used_ = 0;
    std::size_t usedByRequests_ = 0;
    std::map<std::pair<Use, std::string>, std::size_t> usedByPeer_;
};

/// The share of one request or answer in the budget, released with this object. Used on one thread at a time.
class ByteReservation {
public:
    ByteReservation(std::shared_ptr<ByteBudget>, ByteBudget::Use, std::string peer);
    ~ByteReservation();
    ByteReservation(const ByteReservation&) = delete;
    ByteReservation& operator=(const ByteReservation&) = delete;

    /// Returns false, and reserves nothing more, if fewer bytes are left.
    bool grow(std::size_t bytes);
    /// Whether the last call of `grow` has failed because of the peer's own limit.
    bool isAtShare() const { return isAtShare_; }
    const std::string& peer() const { return peer_; }
    std::size_t bytes() const { return bytes_; }
    /// Reserves bytes that are in memory anyway.
    void growAnyway(std::size_t bytes);

private:
    std::shared_ptr<ByteBudget> budget_;
    ByteBudget::Use use_;
    std::string peer_;
    std::size_t bytes_ = 0;
    bool isAtShare_ = false;
};

} // namespace lagoon::http
