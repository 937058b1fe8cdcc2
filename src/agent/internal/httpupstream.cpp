#include "agent/internal/httpupstream.h"

#include "agent/internal/httpheaders.h"
#include "framework/decisionlog.h"
#include "framework/eventloop.h"
#include "framework/eventthread.h"
#include "framework/logging.h"
#include "framework/loglimiter.h"
#include "http/clientconnection.h"
#include "http/url.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cpprest/base_uri.h>
#include <utility>

namespace lagoon::agent {

namespace {

using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using http::ClientConnection;

/// The caller of `run` enforces the call's deadline. An upstream that is busy may take no bytes for a long time.
constexpr std::chrono::hours idleLimit { 24 };
constexpr std::size_t failureLinesPerSecond = 20;

HttpHeaders headersOf(const http::ResponseHead& head)
{
    HttpHeaders headers;
    for (const http::HeaderField& field : head.headers.fields())
        headers.emplace_back(field.name, field.value);
    return headers;
}

bool isWellFormed(const UpstreamRequest& request)
{
    const bool isMethod = !request.method.empty() && request.method.find_first_of(" \t\r\n") == std::string::npos;
    return isMethod && web::uri::validate(request.path);
}

/// Logs failures of calls, of which an upstream in trouble can cause any number.
class FailureLog {
public:
    void write(const framework::RequestName& request, const http::ClientFailure& failure)
    {
        const auto omitted = lines_.admit(std::chrono::steady_clock::now());
        if (!omitted)
            return;
        framework::LogLine line("upstream_failed");
        line.text("request", request.value())
            .text("cause", failure.logText())
            .flag("may_have_run", failure.mayHaveArrived)
            .number("omitted", *omitted);
        framework::logWarning("agent", line.json());
    }

private:
    framework::LogLimiter lines_ { failureLinesPerSecond };
};

/// Runs on the upstream's event thread, but for `cancel`.
class HttpUpstreamCall final : public IUpstreamCall,
                               public http::IAnswerSink,
                               public std::enable_shared_from_this<HttpUpstreamCall> {
public:
    struct Context {
        framework::EventThread& thread;
        FailureLog& log;
        http::Url url;
        /// Names the upstream in errors.
        std::string peer;
    };

    HttpUpstreamCall(Context context, framework::RequestName name, UpstreamEvents events)
        : context_(std::move(context))
        , name_(std::move(name))
        , events_(std::move(events))
    {
    }

    void start(const http::Request& request)
    {
        if (isEnded_)
            return;
        framework::runGuarded(
            "a call to the upstream", [&] { send(request); },
            [this] { fail(error("call upstream", ErrorCode::UpstreamFailed, "exception", Execution::Unknown)); });
    }

    void cancel() override
    {
        context_.thread.post([self = shared_from_this()] {
            const auto connection = self->connection_.lock();
            if (connection)
                connection->abandon();
            self->fail(self->error("call upstream", ErrorCode::UpstreamFailed, "cancelled",
                connection ? Execution::Unknown : Execution::NotRun));
        });
    }

    bool didReceiveHead(const http::ResponseHead& head) override
    {
        events_.onHead(static_cast<unsigned short>(head.status), endToEndHeaders(headersOf(head)));
        return true;
    }

    void didReceiveBody(std::string_view piece) override { events_.onBytes(std::string(piece)); }

    void didFinish() override
    {
        isEnded_ = true;
        events_.onEnd();
    }

    void didFail(const http::ClientFailure& failure) override
    {
        const bool isBroken = failure.step == http::ClientStep::ReadBody;
        context_.log.write(name_, failure);
        fail(error(isBroken ? "read answer" : "call upstream",
            isBroken ? ErrorCode::UpstreamBroken : ErrorCode::UpstreamFailed, failure.detail,
            failure.mayHaveArrived ? Execution::Unknown : Execution::NotRun));
    }

private:
    void send(const http::Request& request)
    {
        // Over a connection that was used before, a late duplicate of an answer would be taken for the answer to the
        // next request, which it doesn't name.
        const auto close = [](const std::shared_ptr<ClientConnection>& connection) { connection->abandon(); };
        const auto ignore = [](const std::shared_ptr<ClientConnection>&) {};
        const auto connection = ClientConnection::make(
            context_.thread.context(), context_.url.endpoint, { idleLimit, idleLimit, true }, { close, ignore });
        connection_ = connection;
        connection->send(request, shared_from_this());
    }

    Error error(const char* step, ErrorCode code, std::string detail, Execution execution) const
    {
        return { code, step, context_.peer, std::move(detail), execution };
    }

    void fail(const Error& error)
    {
        if (!std::exchange(isEnded_, true))
            events_.onFailed(error);
    }

    Context context_;
    framework::RequestName name_;
    UpstreamEvents events_;
    std::weak_ptr<ClientConnection> connection_;
    bool isEnded_ = false;
};

class HttpUpstream final : public IUpstream {
public:
    explicit HttpUpstream(const std::string& url)
        : url_(url)
        , base_(http::parseUrl(url))
    {
    }

    std::shared_ptr<IUpstreamCall> run(UpstreamRequest request, UpstreamEvents events) override
    {
        auto call = std::make_shared<HttpUpstreamCall>(
            HttpUpstreamCall::Context { thread_, failures_, base_, url_ }, request.name, events);
        if (!isWellFormed(request)) {
            events.onFailed(Error { ErrorCode::BadRequest, "call upstream", url_, "malformed method or path" });
            return call;
        }
        thread_.post([call, sent = httpRequest(std::move(request))] { call->start(sent); });
        return call;
    }

private:
    http::Request httpRequest(UpstreamRequest request) const
    {
        http::Request sent { std::move(request.method), base_.path + request.path, {}, std::move(request.body) };
        sent.headers.add("Host", base_.endpoint.value());
        for (auto& [name, value] : endToEndHeaders(request.headers))
            sent.headers.add(name, value);
        sent.headers.set("X-Request-Id", request.name.value());
        sent.headers.set("X-Priority", std::to_string(request.priority));
        return sent;
    }

    std::string url_;
    http::Url base_;
    FailureLog failures_;
    framework::EventThread thread_;
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
