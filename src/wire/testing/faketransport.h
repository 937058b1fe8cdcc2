#pragma once

#include "wire/ilink.h"

#include <memory>
#include <string>
#include <vector>

/// Test doubles for the unit tests of all modules; not linked into the program.
namespace lagoon::wire {

/// A link whose remote end is simulated by the test.
class FakeLink final : public ILink, public std::enable_shared_from_this<FakeLink> {
public:
    FakeLink(framework::Endpoint peer, LinkHandlers handlers)
        : peer_(std::move(peer))
        , handlers_(std::move(handlers))
    {
    }

    void send(const Message&) override;
    void close() override { isClosed_ = true; }
    const framework::Endpoint& peer() const override { return peer_; }

    /// Simulates a message from the remote end.
    void deliver(Message);
    /// Simulates a lost connection.
    void cut(const std::string& step = "read");
    bool isClosed() const { return isClosed_; }
    /// Removes and returns all sent messages.
    std::vector<Message> takeSent();
    /// Removes and returns the last sent message of this type; throws, and so fails the test case, if there is none.
    Message takeSent(fb::Body);

private:
    framework::Endpoint peer_;
    LinkHandlers handlers_;
    bool isClosed_ = false;
    std::vector<Message> sent_;
};

/// Creates fake links and keeps them.
class FakeTransport final : public ILinkTransport {
public:
    std::shared_ptr<ILink> connect(const framework::Endpoint&, LinkHandlers) override;
    framework::Result<framework::Endpoint> listen(const framework::Endpoint&, LinkHandlers) override;
    void stopListening() override { }
    void stop() override { }

    /// Returns the newest link to the endpoint, or null if there is none.
    std::shared_ptr<FakeLink> newest(const framework::Endpoint&) const;
    std::size_t connections() const { return links_.size(); }

private:
    std::vector<std::shared_ptr<FakeLink>> links_;
};

} // namespace lagoon::wire
