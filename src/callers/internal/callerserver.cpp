#include "callers/callerserver.h"

#include "callers/internal/bodyreader.h"
#include "callers/internal/calleranswer.h"
#include "callers/internal/occupancy.h"
#include "callers/internal/requestheaders.h"
#include "callers/internal/requesttarget.h"
#include "http/listener.h"

#include <atomic>
#include <mutex>
#include <shared_mutex>

namespace lagoon::callers {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using web::http::http_request;
using web::http::methods;

namespace {

constexpr const char* completionsPath = "/v1/completions";
constexpr const char* chatCompletionsPath = "/v1/chat/completions";
constexpr const char* modelsPath = "/v1/models";
constexpr const char* servicesPrefix = "/services/";
constexpr unsigned short headersTooLarge = 431;
/// When to come back after a refusal that says nothing about the system's load: another router may serve at once.
constexpr framework::Milliseconds soon { 1000 };

/// What a request asks for, by its path.
enum class Kind : std::uint8_t { Completion, ChatCompletion, Service, Models, Other };

Kind kindOf(const std::string& path)
{
    if (path == completionsPath)
        return Kind::Completion;
    if (path == chatCompletionsPath)
        return Kind::ChatCompletion;
    if (path == modelsPath)
        return Kind::Models;
    return path.starts_with(servicesPrefix) ? Kind::Service : Kind::Other;
}

std::string kindText(Kind kind)
{
    switch (kind) {
    case Kind::Completion:
        return "completion";
    case Kind::ChatCompletion:
        return "chat_completion";
    case Kind::Service:
        return "service";
    case Kind::Models:
        return "models";
    case Kind::Other:
        break;
    }
    return "other";
}

/// Empty if any method will do.
std::string requiredMethod(Kind kind)
{
    if (kind == Kind::Completion || kind == Kind::ChatCompletion)
        return methods::POST;
    return kind == Kind::Models ? methods::GET : std::string();
}

/// One request on its way through the checks.
struct Intake {
    http_request http;
    std::shared_ptr<CallerAnswer> answer;
    framework::SteadyTime receivedAt;
    Kind kind = Kind::Other;
    CallerStatements statements;
    CallerRequest request;
};

/// `/services/<name>/<rest>?<query>`: the service and `/<rest>?<query>`.
void splitServicePath(const std::string& path, const std::string& query, CallerRequest& request)
{
    const std::string rest = path.substr(std::string(servicesPrefix).size());
    const std::size_t slash = rest.find('/');
    request.target.service = framework::ServiceName(web::uri::decode(rest.substr(0, slash)));
    request.path = slash == std::string::npos ? "/" : rest.substr(slash);
    if (!query.empty())
        request.path += "?" + query;
}

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

    void stop()
    {
        refuseNew();
        {
            const std::unique_lock lock(dispatchMutex_);
            isStopped_ = true;
        }
        if (!listener_)
            return;
        listener_->close().wait();
        listener_.reset();
    }

private:
    void handle(const http_request& http)
    {
        const auto intake = std::make_shared<Intake>();
        intake->http = http;
        intake->receivedAt = std::chrono::steady_clock::now();
        intake->kind = kindOf(http.request_uri().path());
        intake->request.name = nextName();
        intake->answer = std::make_shared<CallerAnswer>(http, answerParts(*intake));
        metrics_->count("lagoon_requests_total", { { "kind", kindText(intake->kind) } });
        const bool hasRoom = occupancy_->enter();
        if (*isRefusing_)
            refuse(*intake, { ErrorCode::ShuttingDown, "receive request", "", "this router is shutting down" }, soon);
        else if (!hasRoom)
            refuse(*intake, { ErrorCode::TooManyWaiting, "receive request", "", "too many requests wait" }, soon);
        else if (isHeaderAcceptable(*intake))
            receiveBody(intake);
    }

    framework::RequestName nextName()
    {
        return framework::RequestName(std::to_string(router_.value()) + "-" + std::to_string(++lastRequest_));
    }

    AnswerParts answerParts(const Intake& intake) const
    {
        AnswerParts parts;
        parts.name = intake.request.name;
        parts.receivedAt = intake.receivedAt;
        parts.backlogBytes = limits_.answerBacklogBytes;
        // A caller's pool must not keep a connection to a router that leaves.
        parts.closesConnection = [isRefusing = isRefusing_] { return isRefusing->load(); };
        parts.observer = occupancy_;
        parts.metrics = metrics_;
        return parts;
    }

    /// Checks all that can be known before the body; refuses the request otherwise.
    bool isHeaderAcceptable(Intake& intake)
    {
        const http_request& http = intake.http;
        if (headerBytes(http.headers()) + http.request_uri().to_string().size() > limits_.headerBytes) {
            intake.answer->refuseAs(
                headersTooLarge, { ErrorCode::TooLarge, "check headers", "", "the headers are too large" });
            return false;
        }
        if (intake.kind == Kind::Other) {
            refuse(intake, { ErrorCode::NotFound, "check path", "", "no such path" });
            return false;
        }
        const std::string method = requiredMethod(intake.kind);
        if (!method.empty() && http.method() != method) {
            intake.answer->refuseAs(web::http::status_codes::MethodNotAllowed,
                { ErrorCode::BadRequest, "check method", "", "expected " + method });
            return false;
        }
        auto statements = readCallerStatements(http.headers());
        if (statements.has_error()) {
            refuse(intake, statements.error());
            return false;
        }
        intake.statements = std::move(statements.value());
        return true;
    }

    void receiveBody(const std::shared_ptr<Intake>& intake)
    {
        const auto timeout = intake->statements.timeout.value_or(bundle::RequestDefaults().timeout);
        const BodyBounds bounds { limits_.bodyBytes,
            Deadline::after(intake->receivedAt, std::min(timeout, limits_.longestTimeout)) };
        readBody(intake->http, bounds, [self = shared_from_this(), intake](framework::Result<std::string> body) {
            if (body.has_error()) {
                intake->answer->closeConnection();
                refuse(*intake, body.error());
                return;
            }
            intake->request.body = std::move(body.value());
            self->complete(*intake);
        });
    }

    void complete(Intake& intake)
    {
        const bundle::BundlePointer bundle = bundle_();
        if (!bundle) {
            refuse(intake, { ErrorCode::NotReady, "look up in bundle", "", "this router has no bundle yet" }, soon);
            return;
        }
        if (intake.kind == Kind::Models) {
            intake.answer->begin(web::http::status_codes::OK, { { "Content-Type", "application/json" } }, 0);
            intake.answer->write(modelList(*bundle));
            intake.answer->finish();
            return;
        }
        const auto filled = fill(intake, *bundle);
        if (filled.has_error())
            refuse(intake, filled.error());
        else
            dispatch(intake);
    }

    framework::Result<void> fill(Intake& intake, const bundle::Bundle& bundle) const
    {
        CallerRequest& request = intake.request;
        const web::uri& uri = intake.http.request_uri();
        if (intake.kind == Kind::Service) {
            splitServicePath(uri.path(), uri.query(), request);
        } else {
            BOOST_OUTCOME_TRY(completion, readCompletionBody(request.body, limits_.jsonDepth));
            request.target.model = completion.model;
            request.target.adapter = completion.adapter;
            request.prefixHash = completion.prefixHash;
            request.path = uri.resource().to_string();
        }
        BOOST_OUTCOME_TRY(defaults, findDefaults(bundle, request.target));
        const CallerStatements& statements = intake.statements;
        const auto timeout = std::min(statements.timeout.value_or(defaults.timeout), limits_.longestTimeout);
        request.deadline = Deadline::after(intake.receivedAt, timeout);
        request.isRepeatable = statements.isRepeatable.value_or(defaults.isRepeatable);
        request.priority = statements.priority.value_or(defaults.priority);
        request.idempotencyKey = statements.idempotencyKey;
        request.method = intake.http.method();
        request.headers = upstreamHeaders(intake.http.headers());
        if (request.deadline.hasPassed(std::chrono::steady_clock::now()))
            return Error { ErrorCode::DeadlinePassed, "receive request", "", "the deadline passed with the body" };
        return framework::success();
    }

    /// The dispatcher may be gone after `stop`, while a body still arrives.
    void dispatch(Intake& intake)
    {
        const std::shared_lock lock(dispatchMutex_);
        if (isStopped_)
            refuse(intake, { ErrorCode::ShuttingDown, "dispatch", "", "this router has shut down" }, soon);
        else
            dispatcher_.accept(std::move(intake.request), intake.answer->guarded());
    }

    static void refuse(Intake& intake, Error error, std::optional<framework::Milliseconds> retryAfter = std::nullopt)
    {
        if (retryAfter)
            error.retryAfter = retryAfter;
        intake.answer->refuse(error, 0);
    }

    const CallerLimits limits_;
    IRequestDispatcher& dispatcher_;
    const BundleSource bundle_;
    const framework::Incarnation router_;
    const std::shared_ptr<framework::Metrics> metrics_;
    const std::shared_ptr<Occupancy> occupancy_;
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

void CallerServer::stop() { implementation_->stop(); }

} // namespace lagoon::callers
