#include "objectstore/tests/testserver.h"

#include <boost/asio.hpp>
#include <cctype>
#include <list>
#include <sstream>

namespace lagoon::objectstore {

using boost::asio::ip::tcp;

namespace {

std::string lowerCase(std::string text)
{
    for (char& character : text)
        character = static_cast<char>(std::tolower(static_cast<unsigned char>(character)));
    return text;
}

ReceivedRequest parseHead(const std::string& head)
{
    ReceivedRequest request;
    std::istringstream lines(head);
    std::string line;
    std::getline(lines, line);
    std::istringstream(line) >> request.method >> request.target;
    while (std::getline(lines, line) && line != "\r") {
        const std::size_t colon = line.find(':');
        const std::size_t begin = line.find_first_not_of(' ', colon + 1);
        request.headers[lowerCase(line.substr(0, colon))] = line.substr(begin, line.size() - begin - 1);
    }
    return request;
}

std::string answerText(const ServerAnswer& answer)
{
    std::ostringstream text;
    text << "HTTP/1.1 " << answer.status << " Status\r\nContent-Length: " << answer.body.size() << "\r\n";
    for (const auto& [name, value] : answer.headers)
        text << name << ": " << value << "\r\n";
    text << "\r\n" << answer.body;
    return text.str();
}

} // namespace

class TestServer::Connections {
public:
    Connections()
        : acceptor_(context_, tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0))
    {
    }

    unsigned short port() const { return acceptor_.local_endpoint().port(); }
    void run() { context_.run(); }
    void stop() { context_.stop(); }

    void accept(const std::function<ServerAnswer(ReceivedRequest)>& handle)
    {
        acceptor_.async_accept([this, handle](const boost::system::error_code& error, tcp::socket socket) {
            if (error)
                return;
            connections_.push_back({ std::move(socket), {}, static_cast<unsigned>(connections_.size() + 1) });
            read(connections_.back(), handle);
            accept(handle);
        });
    }

private:
    struct Connection {
        tcp::socket socket;
        std::string received;
        unsigned number;
    };

    void read(Connection& connection, const std::function<ServerAnswer(ReceivedRequest)>& handle)
    {
        boost::asio::async_read_until(connection.socket, boost::asio::dynamic_buffer(connection.received), "\r\n\r\n",
            [this, &connection, handle](const boost::system::error_code& error, std::size_t size) {
                if (!error)
                    serve(connection, size, handle);
            });
    }

    void serve(Connection& connection, std::size_t headSize, const std::function<ServerAnswer(ReceivedRequest)>& handle)
    {
        ReceivedRequest request = parseHead(connection.received.substr(0, headSize));
        connection.received.erase(0, headSize);
        request.connection = connection.number;
        const std::size_t length
            = request.headers.count("content-length") > 0 ? std::stoul(request.headers["content-length"]) : 0;
        boost::system::error_code error;
        if (connection.received.size() < length)
            boost::asio::read(connection.socket, boost::asio::dynamic_buffer(connection.received),
                boost::asio::transfer_exactly(length - connection.received.size()), error);
        request.body = connection.received.substr(0, length);
        connection.received.erase(0, length);
        const ServerAnswer answer = handle(std::move(request));
        if (answer.kind == ServerAnswer::Kind::CloseConnection)
            connection.socket.close(error);
        if (answer.kind != ServerAnswer::Kind::Answer)
            return;
        boost::asio::write(connection.socket, boost::asio::buffer(answerText(answer)), error);
        read(connection, handle);
    }

    boost::asio::io_context context_;
    tcp::acceptor acceptor_;
    std::list<Connection> connections_;
};

TestServer::TestServer(Handler handler)
    : handler_(std::move(handler))
    , connections_(std::make_unique<Connections>())
{
    connections_->accept([this](const ReceivedRequest& request) {
        {
            const std::lock_guard lock(mutex_);
            receivedRequests_.push_back(request);
        }
        return handler_(request);
    });
    thread_ = std::thread([this] { connections_->run(); });
}

TestServer::~TestServer()
{
    connections_->stop();
    thread_.join();
}

std::string TestServer::url() const { return "http://127.0.0.1:" + std::to_string(connections_->port()); }

std::vector<ReceivedRequest> TestServer::receivedRequests() const
{
    const std::lock_guard lock(mutex_);
    return receivedRequests_;
}

} // namespace lagoon::objectstore
