#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace lagoon::callers {

/// Bounds the bytes of all request bodies that are held at once. Thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// False, and nothing is taken, if there isn't as much left.
    bool acquire(std::size_t bytes)
    {
        std::size_t used = used_.load();
        while (used + bytes <= maxBytes_) {
            if (used_.compare_exchange_weak(used, used + bytes))
                return true;
        }
        return false;
    }
    void release(std::size_t bytes) { used_ -= bytes; }

private:
    const std::size_t maxBytes_;
    std::atomic<std::size_t> used_ = 0;
};

/// One request's part of the budget, given back with this object. Grown by one thread at a time.
class BodyReservation {
public:
    explicit BodyReservation(std::shared_ptr<BodyBudget> budget)
        : budget_(std::move(budget))
    {
    }
    ~BodyReservation() { budget_->release(bytes_); }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    bool grow(std::size_t bytes)
    {
        if (!budget_->acquire(bytes))
            return false;
        bytes_ += bytes;
        return true;
    }

private:
    std::shared_ptr<BodyBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace lagoon::callers
