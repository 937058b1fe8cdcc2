#include "agent/internal/httpupstream.h"

#include "agent/internal/httpheaders.h"

#include <algorithm>
#include <atomic>
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/http_client.h>
#include <system_error>

namespace lagoon::agent {

namespace {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using web::http::client::http_client;
using web::http::client::http_client_config;

/// cpprest's timeout only limits how long a connection is idle; the caller of `run` enforces the call's deadline.
constexpr std::chrono::hours idleLimit { 24 };
constexpr std::size_t maxReadBytes = 64 * 1024;

std::shared_ptr<http_client> newClient(const std::string& url)
{
    http_client_config config;
    config.set_timeout(idleLimit);
    return std::make_shared<http_client>(web::uri(url), config);
}

/// cpprest reports the same error code for a refused connection and for a header that couldn't be written; only the
/// text differs. Only after a refused connection is it certain that nothing was sent.
bool isConnectFailure(const web::http::http_exception& exception)
{
    return exception.error_code().value() == static_cast<int>(std::errc::host_unreachable)
        && std::string(exception.what()).rfind("Failed to connect", 0) == 0;
}

class HttpUpstreamCall final : public IUpstreamCall, public std::enable_shared_from_this<HttpUpstreamCall> {
public:
    HttpUpstreamCall(std::shared_ptr<http_client> client, std::string peer, UpstreamEvents events)
        : client_(std::move(client))
        , peer_(std::move(peer))
        , events_(std::move(events))
    {
    }

    void start(const web::http::http_request& request)
    {
        client_->request(request, cancellation_.get_token())
            .then([self = shared_from_this()](const pplx::task<web::http::http_response>& answered) {
                self->runGuarded("call upstream", [&] { self->handleHead(answered.get()); });
            });
    }

    void cancel() override { cancellation_.cancel(); }

private:
    void handleHead(const web::http::http_response& response)
    {
        response_ = response;
        HttpHeaders headers;
        for (const auto& [name, value] : response_.headers())
            headers.emplace_back(name, value);
        events_.onHead(response_.status_code(), endToEndHeaders(headers));
        readNext();
    }

    /// Reads each chunk as it arrives: waits by a peek for the next byte, then reads what is available. `body().read`
    /// would wait for the whole stream.
    void readNext()
    {
        response_.body().streambuf().getc().then([self = shared_from_this()](const pplx::task<int>& peeked) {
            self->runGuarded("read answer", [&] {
                if (peeked.get() == concurrency::streams::char_traits<std::uint8_t>::eof())
                    self->events_.onEnd();
                else
                    self->readAvailable();
            });
        });
    }

    void readAvailable()
    {
        auto buffer = response_.body().streambuf();
        const std::size_t size = std::clamp<std::size_t>(buffer.in_avail(), 1, maxReadBytes);
        auto bytes = std::make_shared<std::string>(size, '\0');
        buffer.getn(reinterpret_cast<std::uint8_t*>(bytes->data()), size)
            .then([self = shared_from_this(), bytes](const pplx::task<std::size_t>& read) {
                self->runGuarded("read answer", [&] {
                    bytes->resize(read.get());
                    self->events_.onBytes(std::move(*bytes));
                    self->readNext();
                });
            });
    }

    /// Converts cpprest's exceptions to failure events; no exception may leave this file.
    template <typename Step> void runGuarded(const char* step, Step&& run)
    {
        try {
            run();
        } catch (const web::http::http_exception& exception) {
            const bool isNotRun = isConnectFailure(exception);
            fail(step, exception.what(), isNotRun ? Execution::NotRun : Execution::Unknown);
        } catch (const std::exception& exception) {
            fail(step, exception.what(), Execution::Unknown);
        }
    }

    void fail(const char* step, const char* detail, Execution execution)
    {
        const ErrorCode code
            = step == std::string("read answer") ? ErrorCode::UpstreamBroken : ErrorCode::UpstreamFailed;
        events_.onFailed(Error { code, step, peer_, detail, execution });
    }

    std::shared_ptr<http_client> client_;
    std::string peer_;
    UpstreamEvents events_;
    web::http::http_response response_;
    pplx::cancellation_token_source cancellation_;
};

web::http::http_request httpRequest(const UpstreamRequest& request)
{
    web::http::http_request forwarded(request.method);
    forwarded.set_request_uri(web::uri(request.path));
    if (!request.body.empty())
        forwarded.set_body(std::vector<unsigned char>(request.body.begin(), request.body.end()));
    for (const auto& [name, value] : endToEndHeaders(request.headers)) {
        forwarded.headers().remove(name);
        forwarded.headers().add(name, value);
    }
    forwarded.headers().remove("X-Request-Id");
    forwarded.headers().add("X-Request-Id", request.name.value());
    forwarded.headers().remove("X-Priority");
    forwarded.headers().add("X-Priority", std::to_string(request.priority));
    return forwarded;
}

class HttpUpstream final : public IUpstream {
public:
    explicit HttpUpstream(const std::string& url)
        : url_(url)
    {
    }

    std::shared_ptr<IUpstreamCall> run(UpstreamRequest request, UpstreamEvents events) override
    {
        // A new client has no pooled connection. Over one, a late duplicate of an answer would be taken for the answer
        // to the next request, which it doesn't name. cpprest would also resend a request by itself when the connection
        // turns out to be closed, although the upstream may have run it.
        auto call = std::make_shared<HttpUpstreamCall>(newClient(url_), url_, events);
        try {
            call->start(httpRequest(request));
        } catch (const std::exception& exception) {
            // Only an invalid request throws here, before anything is sent.
            events.onFailed(Error { ErrorCode::BadRequest, "call upstream", url_, exception.what() });
        }
        return call;
    }

private:
    std::string url_;
};

} // namespace

std::shared_ptr<IUpstream> makeHttpUpstream(const std::string& url) { return std::make_shared<HttpUpstream>(url); }

bool acceptsConnections(const std::string& url)
{
    using boost::asio::ip::tcp;
    const web::uri uri(url);
    boost::asio::io_context context;
    tcp::resolver resolver(context);
    boost::system::error_code error;
    const auto addresses = resolver.resolve(uri.host(), std::to_string(uri.port()), error);
    if (error)
        return true;
    tcp::socket socket(context);
    boost::asio::connect(socket, addresses, error);
    return error != boost::asio::error::connection_refused;
}

} // namespace lagoon::agent
