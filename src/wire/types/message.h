#pragma once

#include "framework/types/error.h"
#include <frames_generated.h>

#include <cstdint>
#include <string>
#include <vector>

namespace lagoon::wire {

/// The content of a frame, in owned objects.
using Message = fb::FrameT;

/// Wraps one body, such as `fb::PingT`, as a message.
template <typename BodyTable> Message message(BodyTable body)
{
    Message wrapped;
    wrapped.body.Set(std::move(body));
    return wrapped;
}

/// Size of a frame's length prefix on the wire. The length is little-endian and does not include the prefix.
inline constexpr std::size_t lengthPrefixBytes = 4;

/// Encodes a message as length prefix and FlatBuffer.
std::vector<std::uint8_t> encode(const Message&);
/// Decodes one frame without its length prefix. Returns an error if the FlatBuffers verifier fails, the type is
/// unknown, or the body lacks a part on which all handlers rely (ids, targets).
framework::Result<Message> decode(const std::uint8_t* bytes, std::size_t size);

/// Formats a target for logs, labels and map keys: `model/adapter`, `model` or `service:name`.
std::string targetText(const fb::TargetT&);

} // namespace lagoon::wire
