#include "support/crowd.h"

#include "support/waitfor.h"

#include <atomic>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <thread>
#include <utility>
#include <vector>

namespace lagoon::testsupport {

namespace {

using boost::asio::ip::tcp;

constexpr std::chrono::milliseconds settlingTime { 1500 };
constexpr std::chrono::milliseconds exchangeTimeout { 5000 };

tcp::endpoint parseEndpoint(const std::string& text)
{
    const std::size_t colon = text.rfind(':');
    return { boost::asio::ip::make_address(text.substr(0, colon)),
        static_cast<unsigned short>(std::stoul(text.substr(colon + 1))) };
}

/// What clients that don't end their requests send at most.
constexpr std::size_t endlessPieces = 16 * 16;
const std::string piece(64 * 1024, 'x');

std::string headOf(const std::string& target, const std::string& host, const std::string& framing)
{
    return "POST " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Request-Attempt: a\r\n" + framing + "\r\n\r\n";
}

std::string chunkedHeadOf(const std::string& target)
{
    return headOf(target, "callers.example", "Transfer-Encoding: chunked");
}

} // namespace

CrowdMessage framingWithoutEnd(const std::string& target, const std::string& begin)
{
    return { chunkedHeadOf(target) + begin, piece, endlessPieces };
}

CrowdMessage headWithoutEnd(const std::string& target)
{
    return { "POST " + target + " HTTP/1.1\r\nHost: callers.example\r\nX-Long: ", piece, endlessPieces };
}

CrowdMessage chunksWithoutEnd(const std::string& target)
{
    return { chunkedHeadOf(target), "10000\r\n" + piece + "\r\n", endlessPieces };
}

CrowdMessage bodyOf(const std::string& target, std::size_t announced, std::size_t sent, const std::string& host)
{
    return { headOf(target, host, "Content-Length: " + std::to_string(announced))
            + std::string(sent % piece.size(), 'x'),
        piece, sent / piece.size() };
}

CrowdMessage frameOf(std::size_t announced, std::size_t sent)
{
    std::string begin;
    for (int byte = 0; byte < 4; ++byte)
        begin += static_cast<char>(announced >> (8 * byte));
    return { begin + std::string(sent % piece.size(), 'x'), piece, sent / piece.size() };
}

std::string exchangeOnce(const std::string& endpoint, const std::string& request)
{
    boost::asio::io_context context;
    tcp::socket socket(context);
    std::string received;
    bool isWhole = false;
    socket.async_connect(parseEndpoint(endpoint), [&](const boost::system::error_code& connectError) {
        if (connectError)
            return;
        boost::asio::async_write(socket, boost::asio::buffer(request),
            [](const boost::system::error_code&, std::size_t) { /* The answer tells. */ });
        boost::asio::async_read(socket, boost::asio::dynamic_buffer(received),
            [&](const boost::system::error_code& error, std::size_t) { isWhole = error == boost::asio::error::eof; });
    });
    context.run_for(exchangeTimeout);
    return isWhole ? received : std::string();
}

class Crowd::Implementation {
public:
    Implementation(
        const std::string& endpoint, std::size_t clients, const std::function<CrowdMessage(std::size_t)>& message)
        : endpoint_(parseEndpoint(endpoint))
    {
        for (std::size_t index = 0; index < clients; ++index)
            clients_.push_back(std::make_unique<Client>(Client { tcp::socket(context_), message(index) }));
        for (const auto& client : clients_)
            connect(*client);
        thread_ = std::thread([this] { context_.run(); });
    }

    ~Implementation()
    {
        context_.stop();
        thread_.join();
    }
    Implementation(const Implementation&) = delete;
    Implementation& operator=(const Implementation&) = delete;

    bool isSettled() const
    {
        auto lastBytes = sentBytes_.load();
        auto lastChange = std::chrono::steady_clock::now();
        return isReached([&] {
            const auto now = std::chrono::steady_clock::now();
            if (std::exchange(lastBytes, sentBytes_.load()) != lastBytes)
                lastChange = now;
            return now - lastChange > settlingTime;
        });
    }

    std::size_t sentBytes() const { return sentBytes_; }

private:
    struct Client {
        tcp::socket socket;
        CrowdMessage message;
    };

    void connect(Client& client)
    {
        client.socket.open(endpoint_.protocol());
        client.socket.set_option(boost::asio::socket_base::receive_buffer_size(1));
        client.socket.async_connect(endpoint_, [this, &client](const boost::system::error_code& error) {
            if (!error)
                send(client, client.message.begin);
        });
    }

    void send(Client& client, const std::string& bytes)
    {
        boost::asio::async_write(client.socket, boost::asio::buffer(bytes),
            [this, &client](const boost::system::error_code& error, std::size_t sent) {
                sentBytes_ += sent;
                if (error || client.message.pieces == 0)
                    return;
                --client.message.pieces;
                send(client, client.message.piece);
            });
    }

    const tcp::endpoint endpoint_;
    boost::asio::io_context context_;
    std::vector<std::unique_ptr<Client>> clients_;
    std::atomic<std::size_t> sentBytes_ { 0 };
    std::thread thread_;
};

Crowd::Crowd(const std::string& endpoint, std::size_t clients, const std::function<CrowdMessage(std::size_t)>& message)
    : implementation_(std::make_unique<Implementation>(endpoint, clients, message))
{
}

Crowd::~Crowd() = default;

bool Crowd::isSettled() const { return implementation_->isSettled(); }

std::size_t Crowd::sentBytes() const { return implementation_->sentBytes(); }

} // namespace lagoon::testsupport
