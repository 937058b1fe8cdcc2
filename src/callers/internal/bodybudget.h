#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace lagoon::callers {

/// Limits the total size of all request bodies held in memory. Thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t maxBytes)
        : maxBytes_(maxBytes)
    {
    }

    /// Returns false, and acquires nothing, if fewer bytes are left.
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

/// One request's share of the budget, released with this object. Only one thread may grow it at a time.
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
