#include "forwarding/eventsplitter.h"

#include <algorithm>
#include <charconv>

namespace lagoon::forwarding {

namespace {

/// A normal event holds a few tokens of text.
constexpr std::size_t maxEventBytes = 1024 * 1024;

/// Returns the end of the first event in the text, after its empty line; npos if the event is incomplete.
std::size_t eventEnd(std::string_view text)
{
    const std::size_t plain = text.find("\n\n");
    const std::size_t carriage = text.find("\r\n\r\n");
    const std::size_t plainEnd = plain == std::string_view::npos ? plain : plain + 2;
    const std::size_t carriageEnd = carriage == std::string_view::npos ? carriage : carriage + 4;
    return std::min(plainEnd, carriageEnd);
}

std::optional<std::uint64_t> eventId(std::string_view event)
{
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size());
        std::string_view line = event.substr(0, end);
        event.remove_prefix(std::min(end + 1, event.size()));
        if (!line.starts_with("id:"))
            continue;
        line.remove_prefix(3);
        while (line.starts_with(' '))
            line.remove_prefix(1);
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            return id;
    }
    return std::nullopt;
}

} // namespace

std::string EventSplitter::feed(std::string_view bytes)
{
    buffer_.append(bytes);
    std::size_t whole = 0;
    while (state_ == State::InOrder) {
        const std::string_view rest = std::string_view(buffer_).substr(whole);
        const std::size_t end = eventEnd(rest);
        if (end == std::string_view::npos)
            break;
        check(rest.substr(0, end));
        if (state_ == State::InOrder)
            whole += end;
    }
    std::string events = buffer_.substr(0, whole);
    buffer_.erase(0, whole);
    if (buffer_.size() > maxEventBytes)
        state_ = State::Broken;
    return events;
}

void EventSplitter::check(std::string_view event)
{
    const auto id = eventId(event);
    if (!id)
        return;
    if (last_ && *id != *last_ + 1) {
        state_ = State::Broken;
        return;
    }
    last_ = id;
}

} // namespace lagoon::forwarding
