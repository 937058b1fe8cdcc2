#include "callers/callerserver.h"

#include "callers/internal/bodyreader.h"
#include "callers/internal/calleranswer.h"
#include "callers/internal/headcheck.h"
#include "callers/internal/occupancy.h"
#include "callers/internal/requestheaders.h"
#include "callers/internal/requesttarget.h"
#include "http/listener.h"

#include <atomic>
#include <mutex>
#include <shared_mutex>
#include <thread>

namespace lagoon::callers {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using web::http::http_request;

namespace {

/// `Retry-After` of refusals that do not depend on the system's load: another router may be able to serve at once.
constexpr framework::Milliseconds retryDelay { 1000 };

/// How long the body of a refused request is read, so that the caller receives its refusal instead of a reset.
constexpr framework::Milliseconds bodyDrainTimeout { 2000 };
/// How long `stop` waits for replies that are being sent.
constexpr framework::Milliseconds replyTimeout { 2000 };
/// How long `stop` then lets connections return to waiting for their next request.
constexpr framework::Milliseconds settlingDelay { 50 };

/// A request that is being received and validated.
struct IncomingRequest {
    http_request http;
    std::shared_ptr<CallerAnswer> answer;
    /// Completes the answer with an error if this object is destroyed before the answer has ended. cpprest and the body
    /// reader swallow exceptions, so the request would otherwise wait, and count as in progress, forever.
    std::shared_ptr<ICallerAnswer> guard;
    std::shared_ptr<http::ByteReservation> body;
    framework::SteadyTime receivedAt;
    RequestKind kind = RequestKind::Other;
    RequestOptions options;
    CallerRequest request;
};

/// Splits `/services/<name>/<rest>?<query>` into the service's name and the path `/<rest>?<query>`.
void splitServicePath(const std::string& path, const std::string& query, CallerRequest& request)
{
    const std::string rest = path.substr(std::string(servicesPrefix).size());
    const std::size_t slash = rest.find('/');
    request.target.service = framework::ServiceName(web::uri::decode(rest.substr(0, slash)));
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!query.empty())
        request.path += "?" + query;
}

/// Answers are passed on as they arrive, so all held bytes may be those of requests.
http::ByteBudget::Limits bodyLimits(std::size_t bytes) { return { bytes, bytes, bytes, bytes }; }

} // namespace

class CallerServer::Implementation : public std::enable_shared_from_this<Implementation> {
public:
    Implementation(CallerLimits limits, IRequestDispatcher& dispatcher, BundleSource bundle,
        framework::Incarnation router, std::shared_ptr<framework::Metrics> metrics)
        : limits_(limits)
        , dispatcher_(dispatcher)
        , bundle_(std::move(bundle))
        , router_(router)
        , metrics_(std::move(metrics))
        , occupancy_(std::make_shared<Occupancy>(limits, metrics_))
        , bodyBudget_(std::make_shared<http::ByteBudget>(bodyLimits(limits.heldBodyBytes)))
        , isRefusing_(std::make_shared<std::atomic<bool>>(false))
    {
    }

    framework::Result<framework::Endpoint> start(const framework::Endpoint& endpoint)
    {
        BOOST_OUTCOME_TRY(open, http::openListener(endpoint, [self = shared_from_this()](const http_request& request) {
            self->handle(request);
        }));
        listener_ = std::move(open.listener);
        return open.endpoint;
    }

    void refuseNew() { *isRefusing_ = true; }

    void waitUntilIdle() { occupancy_->waitUntilEmpty(); }
    bool waitUntilIdle(Deadline deadline) { return occupancy_->waitUntilEmpty(deadline); }
    bool waitUntilAllSent(Deadline deadline) { return occupancy_->waitUntilAllSent(deadline); }

    void stop()
    {
        refuseNew();
        {
            const std::unique_lock lock(dispatchMutex_);
            isStopped_ = true;
        }
        if (!listener_)
            return;
        // cpprest 2.10.18 closes the sockets of its connections on this thread while its own threads may start to read
        // or write on them, which occasionally crashes the process. Therefore this waits for the replies that are being
        // sent, and then `settlingDelay` more for their connections to return to waiting for a next request. A process
        // that exits anyway is safer without closing (routercommand.cpp).
        occupancy_->waitUntilEmpty(Deadline::after(std::chrono::steady_clock::now(), replyTimeout));
        std::this_thread::sleep_for(settlingDelay);
        listener_->close().wait();
        listener_.reset();
    }

private:
    void handle(const http_request& http)
    {
        const auto incoming = std::make_shared<IncomingRequest>();
        incoming->http = http;
        incoming->receivedAt = std::chrono::steady_clock::now();
        incoming->kind = kindOf(http);
        incoming->request.name = nextName();
        incoming->body
            = std::make_shared<http::ByteReservation>(bodyBudget_, http::ByteBudget::Use::Request, std::string());
        incoming->answer = std::make_shared<CallerAnswer>(http, answerContext(*incoming));
        metrics_->count("lagoon_requests_total", { { "kind", kindText(incoming->kind) } });
        const bool hasCapacity = occupancy_->enter();
        incoming->guard = incoming->answer->guarded();
        if (const auto refusal = checkBeforeBody(*incoming, hasCapacity))
            refuseEarly(incoming, *refusal);
        else
            receiveBody(incoming);
    }

    std::optional<EarlyRefusal> checkBeforeBody(IncomingRequest& incoming, bool hasCapacity) const
    {
        if (auto refusal = checkHead(incoming.http, incoming.kind, limits_))
            return refusal;
        if (*isRefusing_)
            return EarlyRefusal { retryLaterError(ErrorCode::ShuttingDown, "this router is shutting down") };
        if (!hasCapacity)
            return EarlyRefusal { retryLaterError(ErrorCode::TooManyWaiting, "too many requests wait") };
        auto options = readRequestOptions(incoming.http.headers());
        if (options.has_error())
            return EarlyRefusal { .error = options.error() };
        incoming.options = std::move(options.value());
        return std::nullopt;
    }

    static Error retryLaterError(ErrorCode code, const std::string& detail)
    {
        return { code, "receive request", "", detail, framework::Execution::NotRun, retryDelay };
    }

    void refuseEarly(const std::shared_ptr<IncomingRequest>& incoming, const EarlyRefusal& refusal)
    {
        if (refusal.endsConnection) {
            discardBody(incoming->http);
            incoming->answer->abandonConnection();
            sendRefusal(*incoming, refusal);
            return;
        }
        const BodyLimits drainLimits { limits_.bodyBytes, Deadline::after(incoming->receivedAt, bodyDrainTimeout),
            nullptr };
        readBody(incoming->http, drainLimits, [incoming, refusal](const framework::Result<std::string>& body) {
            if (body.has_error())
                incoming->answer->abandonConnection();
            sendRefusal(*incoming, refusal);
        });
    }

    static void sendRefusal(IncomingRequest& incoming, const EarlyRefusal& refusal)
    {
        if (refusal.status)
            incoming.answer->refuseAs(*refusal.status, refusal.error);
        else
            incoming.answer->refuse(refusal.error, 0);
    }

    framework::RequestName nextName()
    {
        return framework::RequestName(std::to_string(router_.value()) + "-" + std::to_string(++lastRequest_));
    }

    AnswerContext answerContext(const IncomingRequest& incoming) const
    {
        AnswerContext context;
        context.name = incoming.request.name;
        context.receivedAt = incoming.receivedAt;
        context.backlogBytes = limits_.answerBacklogBytes;
        // A caller's connection pool must not keep a connection to a router that shuts down.
        context.closesConnection = [isRefusing = isRefusing_] { return isRefusing->load(); };
        context.body = incoming.body;
        context.observer = occupancy_;
        context.metrics = metrics_;
        return context;
    }

    void receiveBody(const std::shared_ptr<IncomingRequest>& incoming)
    {
        const auto timeout = incoming->options.timeout.value_or(bundle::RequestDefaults().timeout);
        const BodyLimits bodyLimits { limits_.bodyBytes,
            Deadline::after(incoming->receivedAt, std::min(timeout, limits_.maxTimeout)), incoming->body };
        readBody(
            incoming->http, bodyLimits, [self = shared_from_this(), incoming](framework::Result<std::string> body) {
                if (body.has_error()) {
                    incoming->answer->abandonConnection();
                    incoming->answer->refuse(body.error(), 0);
                    return;
                }
                incoming->request.body = std::move(body.value());
                self->complete(*incoming);
            });
    }

    /// Dispatches the request, or answers it directly. The dispatcher and the bundle source may no longer exist after
    /// `stop`, while a body still arrives.
    void complete(IncomingRequest& incoming)
    {
        const std::shared_lock lock(dispatchMutex_);
        if (isStopped_) {
            incoming.answer->refuse(retryLaterError(ErrorCode::ShuttingDown, "this router has shut down"), 0);
            return;
        }
        const bundle::BundlePointer bundle = bundle_();
        if (!bundle) {
            incoming.answer->refuse(retryLaterError(ErrorCode::NotReady, "this router has no bundle yet"), 0);
            return;
        }
        if (incoming.kind == RequestKind::Models) {
            incoming.answer->begin(web::http::status_codes::OK, { { "Content-Type", "application/json" } }, 0);
            incoming.answer->write(modelList(*bundle));
            incoming.answer->finish();
            return;
        }
        const auto result = fillRequest(incoming, *bundle);
        if (result.has_error())
            incoming.answer->refuse(result.error(), 0);
        else
            dispatcher_.accept(std::move(incoming.request), std::move(incoming.guard));
    }

    framework::Result<void> fillRequest(IncomingRequest& incoming, const bundle::Bundle& bundle) const
    {
        CallerRequest& request = incoming.request;
        const web::uri& uri = incoming.http.request_uri();
        if (incoming.kind == RequestKind::Service) {
            splitServicePath(uri.path(), uri.query(), request);
        } else {
            BOOST_OUTCOME_TRY(completion, readCompletionBody(request.body, limits_.jsonDepth));
            request.target.model = completion.model;
            request.target.adapter = completion.adapter;
            request.prefixHash = completion.prefixHash;
            request.path = uri.resource().to_string();
        }
        BOOST_OUTCOME_TRY(defaults, findDefaults(bundle, request.target));
        const RequestOptions& options = incoming.options;
        const auto timeout = std::min(options.timeout.value_or(defaults.timeout), limits_.maxTimeout);
        request.deadline = Deadline::after(incoming.receivedAt, timeout);
        request.isRepeatable = options.isRepeatable.value_or(defaults.isRepeatable);
        request.priority = options.priority.value_or(defaults.priority);
        request.idempotencyKey = options.idempotencyKey;
        request.method = incoming.http.method();
        request.headers = upstreamHeaders(incoming.http.headers());
        incoming.http.headers().match("Authorization", request.caller);
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
    const std::shared_ptr<http::ByteBudget> bodyBudget_;
    const std::shared_ptr<std::atomic<bool>> isRefusing_;
    std::atomic<std::uint64_t> lastRequest_ = 0;
    std::shared_mutex dispatchMutex_;
    bool isStopped_ = false;
    std::unique_ptr<web::http::experimental::listener::http_listener> listener_;
};

CallerServer::CallerServer(CallerLimits limits, IRequestDispatcher& dispatcher, BundleSource bundle,
    framework::Incarnation router, std::shared_ptr<framework::Metrics> metrics)
    : implementation_(
        std::make_shared<Implementation>(limits, dispatcher, std::move(bundle), router, std::move(metrics)))
{
}

CallerServer::~CallerServer() { stop(); }

framework::Result<framework::Endpoint> CallerServer::start(const framework::Endpoint& endpoint)
{
    return implementation_->start(endpoint);
}

void CallerServer::refuseNew() { implementation_->refuseNew(); }

void CallerServer::waitUntilIdle() { implementation_->waitUntilIdle(); }

bool CallerServer::waitUntilIdle(Deadline deadline) { return implementation_->waitUntilIdle(deadline); }

bool CallerServer::waitUntilAllSent(Deadline deadline) { return implementation_->waitUntilAllSent(deadline); }

void CallerServer::stop() { implementation_->stop(); }

} // namespace lagoon::callers
