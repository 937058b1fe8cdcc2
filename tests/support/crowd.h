#pragma once

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace lagoon::testsupport {

/// What one client of a crowd sends over its connection.
struct CrowdMessage {
    std::string begin;
    /// Sent repeatedly after `begin`.
    std::string piece = {};
    std::size_t pieces = 0;
};

/// A chunked request whose framing doesn't end. `begin` follows the head, such as `0\r\nX-Long: ` for a trailer.
CrowdMessage framingWithoutEnd(const std::string& target, const std::string& begin);
/// A request whose head doesn't end.
CrowdMessage headWithoutEnd(const std::string& target);
/// A request whose chunks don't end.
CrowdMessage chunksWithoutEnd(const std::string& target);
/// A request that announces `announced` bytes of body, and sends `sent` of them.
CrowdMessage bodyOf(
    const std::string& target, std::size_t announced, std::size_t sent, const std::string& host = "callers.example");
/// A frame of a link that announces `announced` bytes, of which `sent` follow.
CrowdMessage frameOf(std::size_t announced, std::size_t sent);

/// Sends the request, which has to ask for the connection's end, over a new connection. Returns all received bytes;
/// none if no whole answer arrives within a few seconds.
std::string exchangeOnce(const std::string& endpoint, const std::string& request);

/// Clients that send what they are told and never read, with receive buffers of the least size. They keep their
/// connections open until this object is destroyed.
class Crowd {
public:
    /// Connects the clients to `address:port`. `message` gives the message of the client with the index.
    Crowd(const std::string& endpoint, std::size_t clients, const std::function<CrowdMessage(std::size_t)>& message);
    ~Crowd();
    Crowd(const Crowd&) = delete;
    Crowd& operator=(const Crowd&) = delete;

    /// Waits until nobody has sent anything for a while. Returns false if that takes longer than `conditionTimeout`.
    bool isSettled() const;
    std::size_t sentBytes() const;

private:
    class Implementation;
    std::unique_ptr<Implementation> implementation_;
};

} // namespace lagoon::testsupport
