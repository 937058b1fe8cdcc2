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

/// Forwards the answer of one attempt to its caller, in order and each byte once. Thread-safe.
///
/// Protects callers from late, duplicated and mixed-up answers: a stream belongs to one dispatch id, accepts only the
/// next byte (bytes that it already has are skipped, a gap is an error), and is complete only if length and checksum
/// match.
class AnswerStream {
public:
    AnswerStream(std::shared_ptr<callers::ICallerAnswer>, std::uint32_t attempt);

    /// Forwards status and headers. Ignores a second head, which the agent sends again after a link was replaced.
    void head(unsigned short status, const callers::HttpHeaders&, framework::SteadyTime now);
    /// Forwards the bytes that are new. Returns false if bytes before `offset` are missing; the answer can't be
    /// completed over this link then.
    [[nodiscard]] bool chunk(std::uint64_t offset, const std::vector<std::uint8_t>& bytes);
    /// Whether the answer was received completely, by its length in bytes and its FNV-1a checksum.
    [[nodiscard]] bool isComplete(std::uint64_t length, std::uint64_t checksum) const;
    /// Stops forwarding to the caller. Returns whether the head had been forwarded before.
    bool detach();

    bool hasBegun() const;
    /// Time at which the head arrived; std::nullopt before that.
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
