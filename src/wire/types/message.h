#pragma once

#include "framework/types/error.h"
#include <frames_generated.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoon::wire {

/// A frame's content, owned.
using Message = fb::FrameT;

/// Wraps one body, such as `fb::PingT`, as a message.
template <typename BodyTable> Message message(BodyTable body)
{
    Message wrapped;
    wrapped.body.Set(std::move(body));
    return wrapped;
}

/// Bytes of a frame's length on the wire, little-endian, without themselves.
inline constexpr std::size_t lengthPrefixBytes = 4;

/// Length prefix and FlatBuffer, ready for the socket.
std::vector<std::uint8_t> encode(const Message&);
/// Reads one frame without its length prefix. Refuses whatever the verifier refuses, an unknown type, or a body that
/// lacks one of the parts that every handler relies on (ids, targets).
framework::Result<Message> decode(const std::uint8_t* bytes, std::size_t size);

/// A target as text for logs, labels and map keys: `model/adapter`, `model` or `service:name`.
std::string targetText(const fb::TargetT&);

} // namespace lagoon::wire
