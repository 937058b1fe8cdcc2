#include "callers/callerserver.h"

#include "callers/internal/calleranswer.h"
#include "callers/internal/headcheck.h"
#include "callers/internal/occupancy.h"
#include "callers/internal/refusal.h"
#include "callers/internal/requestheaders.h"
#include "callers/internal/requesttarget.h"
#include "framework/descriptors.h"
#include "framework/threadquery.h"
#include "http/exchangeserver.h"

#include <algorithm>
#include <atomic>
#include <cpprest/base_uri.h>
#include <thread>

namespace lagoon::callers {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;

namespace {

/// `Retry-After` of refusals that do not depend on the system's load: another router may be able to serve at once.
constexpr framework::Milliseconds retryDelay { 1000 };

/// How long `stop` waits for replies that are being sent.
constexpr framework::Milliseconds replyTimeout { 2000 };
constexpr framework::Milliseconds sentCheckInterval { 5 };
/// Connections of its caller and to its agent.
constexpr std::size_t descriptorsOfRequest = 2;

/// Splits `/services/<name>/<rest>?<query>` into the service's name and the path `/<rest>?<query>`.
framework::Result<void> splitServicePath(const std::string& resource, CallerRequest& request)
{
    const std::string rest = resource.substr(std::string(servicesPrefix).size());
    const std::size_t end = rest.find_first_of("/?");
    try {
        request.target.service = framework::ServiceName(web::uri::decode(rest.substr(0, end)));
    } catch (const web::uri_exception&) {
        return Error { ErrorCode::BadRequest, "check path", "", "the service's name is badly encoded" };
    }
    request.path = end == std::string::npos ? "/" : rest.substr(end);
    if (request.path.front() == '?')
        request.path = "/" + request.path;
    return framework::success();
}

/// Bodies and unread answers may take as much each. Their peers aren't told apart.
http::ByteBudget::Limits bodyLimits(std::size_t bytes) { return { 2 * bytes, bytes, bytes, bytes }; }

http::ExchangeLimits exchangeLimits(const CallerLimits& limits)
{
    http::ExchangeLimits result;
    result.headerBytes = static_cast<std::uint32_t>(limits.headerBytes);
    result.bodyBytes = limits.bodyBytes;
    result.headerTimeout = limits.headerTimeout;
    result.idleTimeout = limits.idleTimeout;
    result.bodyProgressTimeout = limits.bodyProgressTimeout;
    result.bodyProgressBytes = limits.bodyProgressBytes;
    result.answerProgressTimeout = limits.answerProgressTimeout;
    result.answerProgressBytes = limits.answerProgressBytes;
    return result;
}

Error retryLaterError(ErrorCode code, const std::string& detail)
{
    return { code, "receive request", "", detail, framework::Execution::NotRun, retryDelay };
}

} // namespace

class CallerServer::Implementation final : public http::IExchangeHandler, public http::IRefusalWriter {
public:
    Implementation(CallerLimits limits, IRequestDispatcher& dispatcher, BundleSource bundle,
        framework::Incarnation router, std::shared_ptr<framework::Metrics> metrics)
        : limits_(limits)
        , dispatcher_(dispatcher)
        , bundle_(std::move(bundle))
        , router_(router)
        , metrics_(std::move(metrics))
        , occupancy_(std::make_shared<Occupancy>(limits, metrics_))
        , server_(*thread_, *this)
    {
        const auto budget = std::make_shared<http::ByteBudget>(bodyLimits(limits.heldBodyBytes));
        server_.setLimits(exchangeLimits(limits));
        server_.setBudget(budget, http::ResponseHead { serviceUnavailable, {}, {} });
        server_.reclaimUnreadAnswers(*budget);
        server_.setRefusalWriter(*this);
        server_.setDropHandler(
            [this](const http::DroppedAnswers&) { metrics_->count("lagoon_unread_answers_dropped_total"); });
        server_.setMaxConnections(std::min(limits.connections, framework::maxDescriptors() / descriptorsOfRequest));
    }

    framework::Result<framework::Endpoint> start(const framework::Endpoint& endpoint)
    {
        return server_.listen(endpoint);
    }

    void refuseNew()
    {
        isRefusing_ = true;
        // A caller's connection pool must not keep a connection to a router that shuts down.
        thread_->post([this] { server_.beginDraining(); });
    }

    bool waitUntilIdle(Deadline deadline)
    {
        return occupancy_->waitUntilEmpty(deadline)
            && waitUntilNone(deadline, [this] { return server_.connectionsWithUnsentAnswers(); });
    }

    bool waitUntilAllSent(Deadline deadline)
    {
        thread_->post([this] {
            server_.closeIdle();
            server_.refuseIncomplete(http::ResponseHead { serviceUnavailable, {}, {} });
        });
        return waitUntilNone(deadline, [this] { return server_.busyConnections(); });
    }

    void stop()
    {
        if (std::exchange(isStopped_, true))
            return;
        refuseNew();
        waitUntilIdle(Deadline::after(std::chrono::steady_clock::now(), replyTimeout));
        framework::askThread(*thread_, [this] {
            server_.closeAll();
            return true;
        });
        thread_->stop();
    }

    /// Refuses what can't be served before its body takes memory.
    http::HeadDecision checkHead(const http::Request& head) override
    {
        if (isRefusing_)
            return refuseAtHead(head, retryLaterError(ErrorCode::ShuttingDown, "this router is shutting down"));
        if (!occupancy_->hasRoom())
            return refuseAtHead(head, retryLaterError(ErrorCode::TooManyWaiting, "too many requests wait"));
        const auto options = readRequestOptions(head.headers);
        if (options.has_error())
            return refuseAtHead(head, options.error());
        const auto timeout = options.value().timeout.value_or(bundle::RequestDefaults().timeout);
        return { std::nullopt,
            Deadline::after(std::chrono::steady_clock::now(), std::min(timeout, limits_.maxTimeout)) };
    }

    void handle(const std::shared_ptr<http::IExchange>& exchange) override
    {
        const http::Request& request = exchange->request();
        const std::string resource = resourceOf(request);
        const RequestKind kind = kindOf(resource);
        metrics_->count("lagoon_requests_total", { { "kind", kindText(kind) } });
        const bool hasCapacity = occupancy_->enter();
        const framework::RequestName name = nextName();
        const auto answer = CallerAnswer::make(
            exchange, { name, exchange->headReceivedAt(), limits_.answerBacklogBytes, thread_, occupancy_, metrics_ });
        // Answers with an error if an exception destroys it.
        const std::shared_ptr<ICallerAnswer> guard = answer->guarded();
        framework::runGuarded(
            "a caller's request",
            [&] {
                if (const auto refusal = checkRequest(request, kind, hasCapacity))
                    refuse(*answer, *refusal);
                else
                    dispatch(*exchange, { name, kind, resource }, guard);
            },
            [] {});
    }

    /// Answers a request that the server refuses without passing it to `handle`.
    http::Response write(const http::UnreadRefusal& refusal) override
    {
        switch (refusal.status) {
        case badRequest:
            return refuseUnread({ ErrorCode::BadRequest, "receive request", "", refusal.cause });
        case requestTimeout:
            return refuseUnread({ ErrorCode::DeadlinePassed, "receive request", "", refusal.cause });
        case bodyTooLarge:
            return refuseUnread({ ErrorCode::TooLarge, "receive body", "",
                "the body is larger than " + std::to_string(limits_.bodyBytes) + " bytes" });
        case headersTooLarge:
            return refuseUnread({ ErrorCode::TooLarge, "receive request", "",
                                    "the headers are larger than " + std::to_string(limits_.headerBytes) + " bytes" },
                headersTooLarge);
        case serviceUnavailable:
            return refuseUnread(
                retryLaterError(isRefusing_ ? ErrorCode::ShuttingDown : ErrorCode::TooManyWaiting, refusal.cause));
        default:
            return refuseUnread({ ErrorCode::Internal, "receive request", "", refusal.cause });
        }
    }

private:
    static constexpr unsigned badRequest = 400;
    static constexpr unsigned requestTimeout = 408;
    static constexpr unsigned bodyTooLarge = 413;
    static constexpr unsigned headersTooLarge = 431;
    static constexpr unsigned serviceUnavailable = 503;

    /// What is known of a request before its body is parsed.
    struct IncomingRequest {
        framework::RequestName name;
        RequestKind kind = RequestKind::Other;
        std::string resource;
    };

    template <typename Query> bool waitUntilNone(Deadline deadline, const Query& query)
    {
        while (framework::askThread(*thread_, query).value_or(0) > 0) {
            if (deadline.hasPassed(std::chrono::steady_clock::now()))
                return false;
            std::this_thread::sleep_for(sentCheckInterval);
        }
        return true;
    }

    http::HeadDecision refuseAtHead(const http::Request& head, const Error& error)
    {
        return { refuseUnread(error, std::nullopt, kindText(kindOf(resourceOf(head)))) };
    }

    /// Counts a request that is refused before it is whole, and returns its answer.
    http::Response refuseUnread(
        const Error& error, std::optional<unsigned> status = std::nullopt, const std::string& kind = "unread")
    {
        metrics_->count("lagoon_requests_total", { { "kind", kind } });
        metrics_->count("lagoon_answers_total", { { "result", "refused" } });
        metrics_->count("lagoon_refusals_total",
            { { "code", std::string(framework::errorCodeText(error.code)) },
                { "execution", std::string(framework::executionText(error.execution)) } });
        return refusalResponse(error, nextName(), 0, status);
    }

    std::optional<HeadRefusal> checkRequest(const http::Request& request, RequestKind kind, bool hasCapacity) const
    {
        if (auto refusal = callers::checkHead(request, kind))
            return refusal;
        if (isRefusing_)
            return HeadRefusal { retryLaterError(ErrorCode::ShuttingDown, "this router is shutting down") };
        if (!hasCapacity)
            return HeadRefusal { retryLaterError(ErrorCode::TooManyWaiting, "too many requests wait") };
        return std::nullopt;
    }

    static void refuse(CallerAnswer& answer, const HeadRefusal& refusal)
    {
        if (refusal.status)
            answer.refuseAs(*refusal.status, refusal.error);
        else
            answer.refuse(refusal.error, 0);
    }

    framework::RequestName nextName()
    {
        return framework::RequestName(std::to_string(router_.value()) + "-" + std::to_string(++lastRequest_));
    }

    /// Dispatches the request, or answers it directly.
    void dispatch(http::IExchange& exchange, const IncomingRequest& incoming, std::shared_ptr<ICallerAnswer> answer)
    {
        const bundle::BundlePointer bundle = bundle_();
        if (!bundle)
            return answer->refuse(retryLaterError(ErrorCode::NotReady, "this router has no bundle yet"), 0);
        if (incoming.kind == RequestKind::Models) {
            answer->begin(200, { { "Content-Type", "application/json" } }, 0);
            answer->write(modelList(*bundle));
            return answer->finish();
        }
        CallerRequest request;
        request.name = incoming.name;
        const auto result = fillRequest(exchange, incoming, *bundle, request);
        if (result.has_error())
            answer->refuse(result.error(), 0);
        else
            dispatcher_.accept(std::move(request), std::move(answer));
    }

    framework::Result<void> fillRequest(http::IExchange& exchange, const IncomingRequest& incoming,
        const bundle::Bundle& bundle, CallerRequest& request) const
    {
        BOOST_OUTCOME_TRY(options, readRequestOptions(exchange.request().headers));
        request.method = exchange.request().method;
        request.headers = upstreamHeaders(exchange.request().headers);
        request.caller = std::string(exchange.request().headers.find("Authorization").value_or(""));
        request.body = exchange.takeBody();
        if (incoming.kind == RequestKind::Service) {
            BOOST_OUTCOME_TRYV(splitServicePath(incoming.resource, request));
        } else {
            BOOST_OUTCOME_TRY(completion, readCompletionBody(request.body, limits_.jsonDepth));
            request.target.model = completion.model;
            request.target.adapter = completion.adapter;
            request.prefixHash = completion.prefixHash;
            request.path = incoming.resource;
        }
        BOOST_OUTCOME_TRY(defaults, findDefaults(bundle, request.target));
        const auto timeout = std::min(options.timeout.value_or(defaults.timeout), limits_.maxTimeout);
        request.deadline = Deadline::after(exchange.headReceivedAt(), timeout);
        request.isRepeatable = options.isRepeatable.value_or(defaults.isRepeatable);
        request.priority = options.priority.value_or(defaults.priority);
        request.idempotencyKey = options.idempotencyKey;
        if (request.deadline.hasPassed(std::chrono::steady_clock::now()))
            return Error { ErrorCode::DeadlinePassed, "receive request", "", "the deadline passed with the body" };
        return framework::success();
    }

    const CallerLimits limits_;
    IRequestDispatcher& dispatcher_;
    const BundleSource bundle_;
    const framework::Incarnation router_;
    const std::shared_ptr<framework::Metrics> metrics_;
    const std::shared_ptr<Occupancy> occupancy_;
    std::atomic<bool> isRefusing_ { false };
    std::uint64_t lastRequest_ = 0;
    bool isStopped_ = false;
    const std::shared_ptr<framework::EventThread> thread_ = std::make_shared<framework::EventThread>();
    http::ExchangeServer server_;
};

CallerServer::CallerServer(CallerLimits limits, IRequestDispatcher& dispatcher, BundleSource bundle,
    framework::Incarnation router, std::shared_ptr<framework::Metrics> metrics)
    : implementation_(
        std::make_unique<Implementation>(limits, dispatcher, std::move(bundle), router, std::move(metrics)))
{
}

CallerServer::~CallerServer() { stop(); }

framework::Result<framework::Endpoint> CallerServer::start(const framework::Endpoint& endpoint)
{
    return implementation_->start(endpoint);
}

void CallerServer::refuseNew() { implementation_->refuseNew(); }

void CallerServer::waitUntilIdle() { implementation_->waitUntilIdle(Deadline(framework::SteadyTime::max())); }

bool CallerServer::waitUntilIdle(Deadline deadline) { return implementation_->waitUntilIdle(deadline); }

bool CallerServer::waitUntilAllSent(Deadline deadline) { return implementation_->waitUntilAllSent(deadline); }

void CallerServer::stop() { implementation_->stop(); }

} // namespace lagoon::callers
