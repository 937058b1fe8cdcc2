#include "standins/proxy/directedstream.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace lagoon::standins {

using std::chrono::steady_clock;

DirectedStream::DirectedStream(Direction direction, std::shared_ptr<Socket> from, std::shared_ptr<Socket> to,
    Framing framing, StreamFaults& faults, std::function<void()> cutBoth)
    : direction_(direction)
    , from_(std::move(from))
    , to_(std::move(to))
    , framing_(framing)
    , faults_(faults)
    , cutBoth_(std::move(cutBoth))
{
}

void DirectedStream::takeIn()
{
    for (std::string bytes = readPiece(*from_, framing_); !bytes.empty(); bytes = readPiece(*from_, framing_))
        swapOrQueue(std::move(bytes));
    if (swapped_)
        queue(std::move(*swapped_), false);
    queue({}, true);
}

void DirectedStream::swapOrQueue(std::string bytes)
{
    if (!swapped_ && faults_.takesSwap(direction_)) {
        swapped_ = std::move(bytes);
        return;
    }
    queue(std::move(bytes), false);
    if (swapped_) {
        queue(std::move(*swapped_), false);
        swapped_.reset();
    }
}

void DirectedStream::queue(std::string bytes, bool isEnd)
{
    const std::lock_guard lock(mutex_);
    if (isSilent_) {
        counts_.swallowed += bytes.size();
        return;
    }
    counts_.held += bytes.size();
    pieces_.push_back({ std::move(bytes), steady_clock::now() + faults_.delay(direction_), isEnd });
    changed_.notify_all();
}

std::optional<DirectedStream::Piece> DirectedStream::next()
{
    std::unique_lock lock(mutex_);
    while (!isStopped_) {
        const bool isWaiting = isHeld_ || isSilent_ || pieces_.empty();
        if (!isWaiting && pieces_.front().due <= steady_clock::now()) {
            Piece piece = std::move(pieces_.front());
            pieces_.pop_front();
            counts_.held -= piece.bytes.size();
            return piece;
        }
        if (isWaiting)
            changed_.wait(lock);
        else
            changed_.wait_until(lock, pieces_.front().due);
    }
    return std::nullopt;
}

void DirectedStream::deliver()
{
    while (const std::optional<Piece> piece = next()) {
        if (piece->isEnd) {
            boost::system::error_code ignored;
            to_->shutdown(Socket::shutdown_send, ignored);
            return;
        }
        if (!send(piece->bytes))
            return cutBoth_();
    }
}

bool DirectedStream::send(const std::string& bytes)
{
    if (direction_ == Direction::ToClient && !bytesUntilLoss_)
        bytesUntilLoss_ = faults_.takeLoss();
    const std::size_t size = bytesUntilLoss_ ? std::min<std::size_t>(bytes.size(), *bytesUntilLoss_) : bytes.size();
    boost::system::error_code error;
    boost::asio::write(*to_, boost::asio::buffer(bytes.data(), size), error);
    std::unique_lock lock(mutex_);
    counts_.delivered += error ? 0 : size;
    lock.unlock();
    if (bytesUntilLoss_)
        *bytesUntilLoss_ -= size;
    return !error && size == bytes.size();
}

void DirectedStream::hold()
{
    const std::lock_guard lock(mutex_);
    isHeld_ = true;
}

void DirectedStream::release()
{
    const std::lock_guard lock(mutex_);
    isHeld_ = false;
    changed_.notify_all();
}

void DirectedStream::silence()
{
    const std::lock_guard lock(mutex_);
    isSilent_ = true;
    counts_.swallowed += counts_.held;
    counts_.held = 0;
    pieces_.clear();
}

void DirectedStream::stop()
{
    const std::lock_guard lock(mutex_);
    isStopped_ = true;
    changed_.notify_all();
}

StreamCounts DirectedStream::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace lagoon::standins
