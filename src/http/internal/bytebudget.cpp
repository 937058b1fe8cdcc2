#include "http/bytebudget.h"

#include <utility>

namespace lagoon::http {

ByteBudget::Limit ByteBudget::acquire(Use use, const std::string& peer, std::size_t bytes)
{
    for (;;) {
        const Limit limit = tryAcquire(use, peer, bytes);
        const bool areAnswersInTheWay = limit == Limit::Total || (limit == Limit::Peer && peer == unreadAnswers);
        if (!areAnswersInTheWay || !reclaim_ || !reclaim_())
            return limit;
    }
}

ByteBudget::Limit ByteBudget::tryAcquire(Use use, const std::string& peer, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    if (isAboveShareLocked(use, peer, bytes))
        return Limit::Peer;
    if (use == Use::Request && usedByRequests_ + bytes > limits_.requests)
        return Limit::Requests;
    if (used_ + bytes > limits_.total)
        return Limit::Total;
    add(use, peer, bytes);
    return Limit::None;
}

bool ByteBudget::isAboveShareLocked(Use use, const std::string& peer, std::size_t bytes) const
{
    const auto known = usedByPeer_.find({ use, peer });
    const std::size_t used = known == usedByPeer_.end() ? 0 : known->second;
    return used + bytes > (use == Use::Request ? limits_.caller : limits_.server);
}

void ByteBudget::acquireAnyway(Use use, const std::string& peer, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    add(use, peer, bytes);
}

void ByteBudget::add(Use use, const std::string& peer, std::size_t bytes)
{
    used_ += bytes;
    usedByRequests_ += use == Use::Request ? bytes : 0;
    usedByPeer_[{ use, peer }] += bytes;
}

void ByteBudget::release(Use use, const std::string& peer, std::size_t bytes)
{
    const std::lock_guard lock(mutex_);
    used_ -= bytes;
    usedByRequests_ -= use == Use::Request ? bytes : 0;
    const auto known = usedByPeer_.find({ use, peer });
    known->second -= bytes;
    if (known->second == 0)
        usedByPeer_.erase(known);
}

std::size_t ByteBudget::used() const
{
    const std::lock_guard lock(mutex_);
    return used_;
}

ByteReservation::ByteReservation(std::shared_ptr<ByteBudget> budget, ByteBudget::Use use, std::string peer)
    : budget_(std::move(budget))
    , use_(use)
    , peer_(std::move(peer))
{
}

ByteReservation::~ByteReservation()
{
    if (bytes_ > 0)
        budget_->release(use_, peer_, bytes_);
}

bool ByteReservation::grow(std::size_t bytes)
{
    const ByteBudget::Limit limit = budget_->acquire(use_, peer_, bytes);
    isAtShare_ = limit == ByteBudget::Limit::Peer;
    if (limit != ByteBudget::Limit::None)
        return false;
    bytes_ += bytes;
    return true;
}

void ByteReservation::growAnyway(std::size_t bytes)
{
    budget_->acquireAnyway(use_, peer_, bytes);
    bytes_ += bytes;
}

} // namespace lagoon::http
