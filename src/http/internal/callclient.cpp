#include "http/callclient.h"

#include "http/bytebudget.h"
#include "http/connectionpool.h"

#include <charconv>
#include <optional>
#include <utility>

namespace lagoon::http {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;

/// Limits the concurrent calls of one process to one server: a few watches, and the reads and writes besides them.
constexpr std::size_t maxConnections = 16;
/// An answer that has made no progress for this long is considered lost, since links have latencies of some
/// milliseconds.
constexpr Milliseconds progressTimeout { 700 };
/// Enough for the largest answer over the slowest links, which have 10 Mbit/s and also carry callers' requests.
constexpr Milliseconds maxAnswerTime { 15000 };

/// Returns the announced length of the answer's body; 0 if there is none.
std::size_t announcedBytes(const ResponseHead& head)
{
    std::size_t bytes = 0;
    if (const auto length = head.headers.find("Content-Length"))
        (void)std::from_chars(length->data(), length->data() + length->size(), bytes);
    return bytes;
}

/// One call in progress.
class Call final : public IAnswerSink, public std::enable_shared_from_this<Call> {
public:
    struct Route {
        std::string step;
        framework::Endpoint peer;
        CallClient::Connections connections = CallClient::Connections::Pooled;
    };

    Call(Route route, std::size_t maxBytes, const std::shared_ptr<ByteBudget>& budget, CallClient::Handler handler)
        : route_(std::move(route))
        , maxBytes_(maxBytes)
        , reservation_(budget, ByteBudget::Use::Answer, route_.peer.value())
        , handler_(std::move(handler))
    {
    }

    void start(framework::EventThread& thread, std::shared_ptr<ClientConnection> connection, const Request& request,
        Deadline deadline, const std::stop_token& stop)
    {
        connection_ = std::move(connection);
        if (stop.stop_possible())
            abortOnStop_.emplace(stop, [weak = weak_from_this(), &thread] {
                thread.post([weak] {
                    if (const auto self = weak.lock())
                        self->abort("given up");
                });
            });
        completeBy_ = Deadline::after(deadline.at(), maxAnswerTime);
        scheduleCheck(thread, deadline);
        connection_->send(request, shared_from_this());
    }

    bool didReceiveHead(const ResponseHead& head) override
    {
        response_.head = head;
        if (announcedBytes(head) > maxBytes_)
            abortTooLarge();
        return true;
    }

    void didReceiveBody(std::string_view piece) override
    {
        if (response_.body.size() + piece.size() > maxBytes_)
            return abortTooLarge();
        if (!reservation_.grow(piece.size()))
            return abort("no memory for the answer beside others");
        response_.body += piece;
    }

    void didFinish() override { complete(std::move(response_)); }

    void didFail(const ClientFailure& failure) override
    {
        complete(error(std::string(clientStepText(failure.step)) + ": " + failure.detail, failure.mayHaveArrived));
    }

    void abort(const std::string& detail)
    {
        if (connection_)
            connection_->abandon();
        complete(error(detail, true));
    }

    void abortTooLarge()
    {
        if (connection_)
            connection_->abandon();
        Error tooLarge = error("answer of more than " + std::to_string(maxBytes_) + " bytes", true);
        tooLarge.code = ErrorCode::TooLarge;
        complete(std::move(tooLarge));
    }

    void complete(framework::Result<Response> result)
    {
        timer_.reset();
        abortOnStop_.reset();
        const auto connection = std::exchange(connection_, nullptr);
        if (connection && route_.connections == CallClient::Connections::OnePerCall)
            connection->abandon();
        if (auto handler = std::exchange(handler_, nullptr))
            handler(std::move(result));
    }

    Error error(std::string detail, bool mayHaveArrived) const
    {
        return Error { ErrorCode::PlatformUnavailable, route_.step, route_.peer.value(), std::move(detail),
            mayHaveArrived ? Execution::Unknown : Execution::NotRun };
    }

private:
    void scheduleCheck(framework::EventThread& thread, Deadline deadline)
    {
        timer_ = thread.runAt(deadline, [weak = weak_from_this(), &thread] {
            if (const auto self = weak.lock())
                self->checkProgress(thread);
        });
    }

    /// Extends the deadline of an answer that makes progress. Otherwise a large answer over a slow link would be
    /// aborted at each deadline and requested again from its first byte: a router with a 10 Mbit/s link received no new
    /// configuration as long as the store had several large ones to send.
    void checkProgress(framework::EventThread& thread)
    {
        const framework::SteadyTime now = std::chrono::steady_clock::now();
        const bool hasProgressed = response_.body.size() > lastBodyBytes_;
        if (!hasProgressed || completeBy_.hasPassed(now))
            return abort("no answer in time");
        lastBodyBytes_ = response_.body.size();
        scheduleCheck(thread, Deadline::after(now, progressTimeout));
    }

    Route route_;
    std::size_t maxBytes_;
    ByteReservation reservation_;
    CallClient::Handler handler_;
    std::shared_ptr<ClientConnection> connection_;
    std::unique_ptr<framework::Timer> timer_;
    std::optional<std::stop_callback<std::function<void()>>> abortOnStop_;
    Response response_;
    std::size_t lastBodyBytes_ = 0;
    Deadline completeBy_;
};

} // namespace

class CallClient::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(framework::EventThread& thread, framework::Endpoint endpoint, const AnswerLimits& limits,
        Connections connections, const ClientOptions& options)
        : thread_(thread)
        , endpoint_(std::move(endpoint))
        , maxAnswerBytes_(limits.bytes)
        , budget_(std::make_shared<ByteBudget>(ByteBudget::Limits { limits.heldBytes, 0, 0, limits.heldBytes }))
        , connections_(connections)
        , pool_(thread.context(), endpoint_, options, maxConnections)
    {
    }

    /// Closes all idle connections when a call fails: a fault that broke one connection has usually broken the idle
    /// ones too, and each call over one of them would be lost although the server may be available again.
    void call(const Request& request, Deadline deadline, Handler handler, const std::stop_token& stop)
    {
        const auto call = std::make_shared<Call>(
            Call::Route { request.method + " " + request.target, endpoint_, connections_ }, maxAnswerBytes_, budget_,
            [weak = weak_from_this(), handler = std::move(handler)](framework::Result<Response> answer) {
                const auto self = weak.lock();
                if (self && answer.has_error())
                    self->pool_.closeIdle();
                handler(std::move(answer));
            });
        auto connection = pool_.take(reuseFor(request), std::chrono::steady_clock::now());
        if (!connection)
            return call->complete(call->error("too many calls at once", false));
        Request addressed = request;
        addressed.headers.set("Host", endpoint_.value());
        call->start(thread_, std::move(connection), addressed, deadline, stop);
    }

private:
    ConnectionPool::Reuse reuseFor(const Request& request) const
    {
        if (connections_ == Connections::OnePerCall)
            return ConnectionPool::Reuse::Never;
        return request.method == "GET" ? ConnectionPool::Reuse::Normal : ConnectionPool::Reuse::Conservative;
    }

    framework::EventThread& thread_;
    framework::Endpoint endpoint_;
    std::size_t maxAnswerBytes_;
    std::shared_ptr<ByteBudget> budget_;
    Connections connections_;
    ConnectionPool pool_;
};

CallClient::CallClient(framework::EventThread& thread, const framework::Endpoint& endpoint, const AnswerLimits& limits,
    Connections connections, const ClientOptions& options)
    : thread_(thread)
    , implementation_(std::make_shared<Implementation>(thread, endpoint, limits, connections, options))
{
}

CallClient::~CallClient() = default;

void CallClient::call(Request request, Deadline deadline, Handler handler, std::stop_token stop)
{
    thread_.post(
        [implementation = implementation_, request = std::move(request), deadline, handler = std::move(handler),
            stop = std::move(stop)]() mutable { implementation->call(request, deadline, std::move(handler), stop); });
}

} // namespace lagoon::http
