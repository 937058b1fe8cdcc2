#include "standins/proxy/streamrelay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>

namespace lagoon::standins {

using std::chrono::steady_clock;

StreamRelay::StreamRelay(Direction direction, std::shared_ptr<Socket> from, std::shared_ptr<Socket> to, Framing framing,
    StreamFaults& faults, std::function<void()> cutConnection)
    : direction_(direction)
    , from_(std::move(from))
    , to_(std::move(to))
    , framing_(framing)
    , faults_(faults)
    , cutConnection_(std::move(cutConnection))
{
}

void StreamRelay::receive()
{
    for (std::string bytes = readChunk(*from_, framing_); !bytes.empty(); bytes = readChunk(*from_, framing_))
        swapOrQueue(std::move(bytes));
    if (swapChunk_)
        queue(std::move(*swapChunk_), false);
    queue({}, true);
}

void StreamRelay::swapOrQueue(std::string bytes)
{
    if (!swapChunk_ && faults_.tryTakeSwap(direction_)) {
        swapChunk_ = std::move(bytes);
        return;
    }
    queue(std::move(bytes), false);
    if (swapChunk_) {
        queue(std::move(*swapChunk_), false);
        swapChunk_.reset();
    }
}

void StreamRelay::queue(std::string bytes, bool isEnd)
{
    const std::lock_guard lock(mutex_);
    if (isBlackholed_) {
        counts_.discarded += bytes.size();
        return;
    }
    counts_.held += bytes.size();
    chunks_.push_back({ std::move(bytes), steady_clock::now() + faults_.delay(direction_), isEnd });
    changed_.notify_all();
}

std::optional<StreamRelay::Chunk> StreamRelay::next()
{
    std::unique_lock lock(mutex_);
    while (!isStopped_) {
        const bool isWaiting = isHeld_ || isBlackholed_ || chunks_.empty();
        if (!isWaiting && chunks_.front().due <= steady_clock::now()) {
            Chunk chunk = std::move(chunks_.front());
            chunks_.pop_front();
            counts_.held -= chunk.bytes.size();
            return chunk;
        }
        if (isWaiting)
            changed_.wait(lock);
        else
            changed_.wait_until(lock, chunks_.front().due);
    }
    return std::nullopt;
}

void StreamRelay::deliver()
{
    while (const std::optional<Chunk> chunk = next()) {
        if (chunk->isEnd) {
            boost::system::error_code ignored;
            to_->shutdown(Socket::shutdown_send, ignored);
            return;
        }
        if (!send(chunk->bytes))
            return cutConnection_();
    }
}

bool StreamRelay::send(const std::string& bytes)
{
    if (direction_ == Direction::ToClient && !bytesUntilLoss_)
        bytesUntilLoss_ = faults_.tryTakeAnswerLoss();
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

void StreamRelay::hold()
{
    const std::lock_guard lock(mutex_);
    isHeld_ = true;
}

void StreamRelay::release()
{
    const std::lock_guard lock(mutex_);
    isHeld_ = false;
    changed_.notify_all();
}

void StreamRelay::blackhole()
{
    const std::lock_guard lock(mutex_);
    isBlackholed_ = true;
    counts_.discarded += counts_.held;
    counts_.held = 0;
    chunks_.clear();
}

void StreamRelay::stop()
{
    const std::lock_guard lock(mutex_);
    isStopped_ = true;
    changed_.notify_all();
}

StreamCounts StreamRelay::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

} // namespace lagoon::standins
