#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::forwarding {

/// Splits a stream of server-sent events into whole events and checks that their ids are consecutive.
///
/// Prevents a caller from receiving a partial event: a server that crashes may stop in the middle of an event, and
/// another server can resume the stream only after a whole one.
class EventSplitter {
public:
    /// `last` is the id of the preceding event, if it is known.
    explicit EventSplitter(std::optional<std::uint64_t> last)
        : last_(last)
    {
    }

    enum class State : std::uint8_t {
        InOrder,
        Broken, ///< an id was missing or came twice, or an event exceeds the size limit
    };

    /// Appends bytes of the stream and returns the whole events received so far that it hasn't returned yet, unchanged.
    std::string feed(std::string_view bytes);
    State state() const { return state_; }
    /// The id of the last whole event.
    std::optional<std::uint64_t> last() const { return last_; }
    /// Whether bytes of an incomplete event are buffered.
    bool hasPartialEvent() const { return !buffer_.empty(); }

private:
    void check(std::string_view event);

    std::optional<std::uint64_t> last_;
    State state_ = State::InOrder;
    std::string buffer_;
};

} // namespace lagoon::forwarding
