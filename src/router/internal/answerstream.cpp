#include "router/internal/answerstream.h"

#include "policy/rendezvous.h"

#include <string>
#include <utility>

namespace lagoon::router {

AnswerStream::AnswerStream(std::shared_ptr<callers::ICallerAnswer> answer, std::uint32_t attempt)
    : answer_(std::move(answer))
    , attempt_(attempt)
    , checksum_(policy::fnv1a(nullptr, 0))
{
}

void AnswerStream::head(unsigned short status, const callers::HttpHeaders& headers, framework::SteadyTime now)
{
    const std::lock_guard lock(mutex_);
    if (begunAt_ || !answer_)
        return;
    begunAt_ = now;
    answer_->begin(status, headers, attempt_);
}

bool AnswerStream::chunk(std::uint64_t offset, const std::vector<std::uint8_t>& bytes)
{
    const std::lock_guard lock(mutex_);
    if (offset > receivedBytes_)
        return false;
    const std::uint64_t alreadyReceived = receivedBytes_ - offset;
    if (alreadyReceived >= bytes.size())
        return true;
    std::string newBytes(bytes.begin() + static_cast<std::ptrdiff_t>(alreadyReceived), bytes.end());
    receivedBytes_ += newBytes.size();
    checksum_ = policy::fnv1a(newBytes.data(), newBytes.size(), checksum_);
    if (answer_)
        answer_->write(std::move(newBytes));
    return true;
}

bool AnswerStream::isComplete(std::uint64_t length, std::uint64_t checksum) const
{
    const std::lock_guard lock(mutex_);
    return begunAt_ && receivedBytes_ == length && checksum_ == checksum;
}

bool AnswerStream::detach()
{
    const std::lock_guard lock(mutex_);
    answer_.reset();
    return begunAt_.has_value();
}

bool AnswerStream::hasBegun() const
{
    const std::lock_guard lock(mutex_);
    return begunAt_.has_value();
}

std::optional<framework::SteadyTime> AnswerStream::begunAt() const
{
    const std::lock_guard lock(mutex_);
    return begunAt_;
}

std::uint64_t AnswerStream::receivedBytes() const
{
    const std::lock_guard lock(mutex_);
    return receivedBytes_;
}

} // namespace lagoon::router
