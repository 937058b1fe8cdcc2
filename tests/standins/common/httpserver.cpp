#include "standins/common/httpserver.h"

#include "standins/common/tcpacceptor.h"

#include <atomic>
#include <boost/algorithm/string/case_conv.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <cpprest/base_uri.h>
#include <poll.h>
#include <thread>

namespace lagoon::standins {

namespace {

namespace beast = boost::beast;
using boost::asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = 64 * 1024 * 1024;

HttpRequest translate(const beast::http::request<beast::http::string_body>& message)
{
    HttpRequest request;
    request.method = std::string(message.method_string());
    const std::string target(message.target());
    const std::size_t question = target.find('?');
    request.path = target.substr(0, question);
    if (question != std::string::npos) {
        for (const auto& [name, value] : web::uri::split_query(target.substr(question + 1)))
            request.query[name] = web::uri::decode(value);
    }
    for (const auto& field : message)
        request.headers[boost::to_lower_copy(std::string(field.name_string()))] = std::string(field.value());
    request.body = message.body();
    return request;
}

/// Serves the requests of one connection on its own thread until the connection is closed or a read fails.
class Connection final : public Exchange {
public:
    explicit Connection(tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    void serve(const HttpServer::Handler& handler)
    {
        boost::system::error_code ignored;
        socket_.set_option(tcp::no_delay(true), ignored);
        while (readRequest() && !isDropped_)
            handler(*this);
    }

    const HttpRequest& request() const override { return request_; }
    std::uint64_t connection() const override { return number_; }

    void reply(int status, const std::string& body, const HeaderMap& headers) override
    {
        beast::http::response<beast::http::string_body> response;
        setHead(response, status, headers);
        response.body() = body;
        response.prepare_payload();
        boost::system::error_code error;
        beast::http::write(socket_, response, error);
        dropConnectionOnError(error);
    }

    void beginStream(int status, const HeaderMap& headers) override
    {
        beast::http::response<beast::http::empty_body> response;
        setHead(response, status, headers);
        response.chunked(true);
        beast::http::response_serializer<beast::http::empty_body> serializer(response);
        boost::system::error_code error;
        beast::http::write_header(socket_, serializer, error);
        dropConnectionOnError(error);
    }

    void sendChunk(const std::string& bytes) override
    {
        boost::system::error_code error;
        boost::asio::write(
            socket_, beast::http::make_chunk(boost::asio::const_buffer(bytes.data(), bytes.size())), error);
        dropConnectionOnError(error);
    }

    void endStream() override
    {
        boost::system::error_code error;
        boost::asio::write(socket_, beast::http::make_chunk_last(), error);
        dropConnectionOnError(error);
    }

    void dropConnection() override
    {
        isDropped_ = true;
        boost::system::error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    bool waitForCallerGone(framework::Milliseconds duration) override
    {
        if (isDropped_)
            return true;
        pollfd descriptor { socket_.native_handle(), POLLRDHUP, 0 };
        if (::poll(&descriptor, 1, static_cast<int>(duration.count())) <= 0)
            return false;
        return (descriptor.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
    }

private:
    bool readRequest()
    {
        if (isDropped_)
            return false;
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        boost::system::error_code error;
        beast::http::read(socket_, buffer_, parser, error);
        if (error)
            return false;
        request_ = translate(parser.get());
        keepsAlive_ = parser.get().keep_alive();
        return true;
    }

    template <typename Response> void setHead(Response& response, int status, const HeaderMap& headers) const
    {
        response.version(11);
        response.result(static_cast<unsigned>(status));
        for (const auto& [name, value] : headers)
            response.set(name, value);
        response.keep_alive(keepsAlive_);
    }

    void dropConnectionOnError(const boost::system::error_code& error)
    {
        if (error && error != beast::http::error::end_of_stream)
            dropConnection();
    }

    static std::uint64_t nextNumber()
    {
        static std::atomic<std::uint64_t> last { 0 };
        return ++last;
    }

    const std::uint64_t number_ = nextNumber();
    tcp::socket socket_;
    beast::flat_buffer buffer_;
    HttpRequest request_;
    bool keepsAlive_ = true;
    bool isDropped_ = false;
};

} // namespace

std::string HttpRequest::header(const std::string& name) const
{
    const auto found = headers.find(name);
    return found == headers.end() ? std::string() : found->second;
}

std::uint64_t HttpRequest::queryNumber(const std::string& name, std::uint64_t fallback) const
{
    const auto found = query.find(name);
    if (found == query.end() || found->second.empty()
        || found->second.find_first_not_of("0123456789") != std::string::npos)
        return fallback;
    return std::strtoull(found->second.c_str(), nullptr, 10);
}

class HttpServer::Implementation : public std::enable_shared_from_this<HttpServer::Implementation> {
public:
    explicit Implementation(Handler handler)
        : handler_(std::move(handler))
    {
    }

    framework::Result<framework::Endpoint> start(const framework::Endpoint& endpoint)
    {
        BOOST_OUTCOME_TRY(boundEndpoint, listenOn(acceptor_, endpoint));
        std::thread([self = shared_from_this()] { self->accept(); }).detach();
        return boundEndpoint;
    }

private:
    void accept()
    {
        while (true) {
            boost::system::error_code error;
            tcp::socket socket = acceptor_.accept(error);
            if (error)
                continue;
            std::thread([self = shared_from_this(), connection = std::make_shared<Connection>(std::move(socket))] {
                connection->serve(self->handler_);
            }).detach();
        }
    }

    Handler handler_;
    boost::asio::io_context context_;
    tcp::acceptor acceptor_ { context_ };
};

HttpServer::HttpServer(Handler handler)
    : implementation_(std::make_shared<Implementation>(std::move(handler)))
{
}

HttpServer::~HttpServer() = default;

framework::Result<framework::Endpoint> HttpServer::start(const framework::Endpoint& endpoint)
{
    return implementation_->start(endpoint);
}

} // namespace lagoon::standins
