#pragma once

#include "callers/icaller.h"
#include "framework/types/error.h"
#include "framework/types/time.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <vector>

namespace lagoon::router {

/// Passes one attempt's answer on to its caller, in order and each byte once. Thread-safe.
///
/// Guards against answers that come late, twice or crossed: a stream belongs to one dispatch id, takes only the byte
/// that is next (what it already has is skipped, a gap is an error), and is whole only if length and checksum agree.
class AnswerStream {
public:
    AnswerStream(std::shared_ptr<callers::ICallerAnswer>, std::uint32_t attempt);

    /// A second head, sent again after a link was replaced, is ignored.
    void head(unsigned short status, const callers::HttpHeaders&, framework::SteadyTime now);
    /// False: bytes are missing before `offset`; the answer can't become whole any more over this link.
    [[nodiscard]] bool chunk(std::uint64_t offset, const std::vector<std::uint8_t>& bytes);
    /// Whether what came is the whole answer.
    [[nodiscard]] bool isComplete(std::uint64_t length, std::uint64_t checksum) const;
    /// Nothing more reaches the caller from this attempt; returns whether anything had.
    bool detach();

    bool hasBegun() const;
    /// When the head came; nothing before.
    std::optional<framework::SteadyTime> begunAt() const;
    std::uint64_t receivedBytes() const;

private:
    mutable std::mutex mutex_;
    std::shared_ptr<callers::ICallerAnswer> answer_;
    std::uint32_t attempt_;
    std::optional<framework::SteadyTime> begunAt_;
    std::uint64_t receivedBytes_ = 0;
    std::uint64_t checksum_;
};

} // namespace lagoon::router
