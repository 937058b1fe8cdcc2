#pragma once

#include <atomic>
#include <cstddef>
#include <memory>

namespace lagoon::callers {

/// Bounds the bytes of all request bodies that are held at once. Thread-safe.
class BodyBudget {
public:
    explicit BodyBudget(std::size_t mostBytes)
        : mostBytes_(mostBytes)
    {
    }

    /// False, and nothing is taken, if there isn't as much left.
    bool take(std::size_t bytes)
    {
        std::size_t taken = taken_.load();
        while (taken + bytes <= mostBytes_) {
            if (taken_.compare_exchange_weak(taken, taken + bytes))
                return true;
        }
        return false;
    }
    void giveBack(std::size_t bytes) { taken_ -= bytes; }

private:
    const std::size_t mostBytes_;
    std::atomic<std::size_t> taken_ = 0;
};

/// One request's part of the budget, given back with this object. Grown by one thread at a time.
class BodyReservation {
public:
    explicit BodyReservation(std::shared_ptr<BodyBudget> budget)
        : budget_(std::move(budget))
    {
    }
    ~BodyReservation() { budget_->giveBack(bytes_); }
    BodyReservation(const BodyReservation&) = delete;
    BodyReservation& operator=(const BodyReservation&) = delete;

    bool grow(std::size_t bytes)
    {
        if (!budget_->take(bytes))
            return false;
        bytes_ += bytes;
        return true;
    }

private:
    std::shared_ptr<BodyBudget> budget_;
    std::size_t bytes_ = 0;
};

} // namespace lagoon::callers
