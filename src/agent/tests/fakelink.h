#pragma once

#include "wire/ilink.h"

#include <string>
#include <vector>

namespace lagoon::agent::testing {

/// A link that records the messages sent over it.
class FakeLink final : public wire::ILink {
public:
    void send(const wire::Message& message) override { sent.push_back(message); }
    void close() override { isClosed = true; }
    const framework::Endpoint& peer() const override { return peer_; }

    /// All sent bodies of one type, in order.
    template <typename BodyTable> std::vector<BodyTable> all() const
    {
        std::vector<BodyTable> bodies;
        for (const wire::Message& message : sent) {
            if (message.body.type == wire::fb::BodyUnionTraits<BodyTable>::enum_value)
                bodies.push_back(*static_cast<const BodyTable*>(message.body.value));
        }
        return bodies;
    }

    /// The answer's bytes, with each chunk at its offset.
    std::string bytes() const
    {
        std::string whole;
        for (const auto& chunk : all<wire::fb::AnswerChunkT>()) {
            whole.resize(chunk.offset, '?');
            whole.append(chunk.bytes.begin(), chunk.bytes.end());
        }
        return whole;
    }

    std::vector<wire::Message> sent;
    bool isClosed = false;

private:
    framework::Endpoint peer_ { "127.0.0.1:1" };
};

} // namespace lagoon::agent::testing
