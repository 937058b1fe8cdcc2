#include "wire/testing/faketransport.h"

#include <stdexcept>
#include <utility>

namespace lagoon::wire {

void FakeLink::send(const Message& message)
{
    if (!isClosed_)
        sent_.push_back(message);
}

void FakeLink::deliver(Message message)
{
    if (!isClosed_)
        handlers_.onMessage(shared_from_this(), std::move(message));
}

void FakeLink::cut(const std::string& step)
{
    if (std::exchange(isClosed_, true))
        return;
    handlers_.onClosed(shared_from_this(), framework::Error { framework::ErrorCode::LinkLost, step, peer_.value() });
}

std::vector<Message> FakeLink::takeSent() { return std::exchange(sent_, {}); }

Message FakeLink::takeSent(fb::Body type)
{
    for (auto message = sent_.rbegin(); message != sent_.rend(); ++message) {
        if (message->body.type != type)
            continue;
        Message found = *message;
        sent_.erase(std::next(message).base());
        return found;
    }
    throw std::runtime_error(std::string("nothing sent of type ") + fb::EnumNameBody(type));
}

std::shared_ptr<ILink> FakeTransport::connect(const framework::Endpoint& endpoint, LinkHandlers handlers)
{
    links_.push_back(std::make_shared<FakeLink>(endpoint, std::move(handlers)));
    return links_.back();
}

framework::Result<framework::Endpoint> FakeTransport::listen(const framework::Endpoint& endpoint, LinkHandlers)
{
    return endpoint;
}

std::shared_ptr<FakeLink> FakeTransport::newest(const framework::Endpoint& endpoint) const
{
    std::shared_ptr<FakeLink> newest;
    for (const auto& link : links_) {
        if (link->peer() == endpoint)
            newest = link;
    }
    return newest;
}

} // namespace lagoon::wire
