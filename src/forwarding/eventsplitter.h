#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::forwarding {

/// Cuts a stream of server-sent events between events and checks that their ids go on one by one.
///
/// Guards against half an event reaching a caller: a server that crashes may stop in the middle of one, and another
/// server can only go on behind a whole one.
class EventSplitter {
public:
    /// `last` is the id of the event before, if it is known.
    explicit EventSplitter(std::optional<std::uint64_t> last)
        : last_(last)
    {
    }

    enum class State : std::uint8_t {
        InOrder,
        Broken, ///< an id was missing, came twice, or an event is longer than any should be
    };

    /// Takes bytes and returns the whole events that are there now, as they came.
    std::string feed(std::string_view bytes);
    State state() const { return state_; }
    /// The id of the last whole event.
    std::optional<std::uint64_t> last() const { return last_; }
    /// Whether bytes of an event that hasn't ended are held.
    bool hasPartialEvent() const { return !buffer_.empty(); }

private:
    void check(std::string_view event);

    std::optional<std::uint64_t> last_;
    State state_ = State::InOrder;
    std::string buffer_;
};

} // namespace lagoon::forwarding
