#include "callers/internal/headcheck.h"

#include <string_view>

namespace lagoon::callers {

using framework::ErrorCode;

namespace {

constexpr const char* completionsPath = "/v1/completions";
constexpr const char* chatCompletionsPath = "/v1/chat/completions";
constexpr const char* modelsPath = "/v1/models";
constexpr const char* step = "check headers";
constexpr const char* lastEventHeader = "Last-Event-Id";
constexpr unsigned methodNotAllowed = 405;
constexpr unsigned versionNotSupported = 505;

/// Returns an empty string if any method is allowed.
std::string requiredMethod(RequestKind kind)
{
    if (kind == RequestKind::Completion || kind == RequestKind::ChatCompletion)
        return "POST";
    return kind == RequestKind::Models ? "GET" : std::string();
}

} // namespace

std::string resourceOf(const http::Request& request)
{
    const std::string& target = request.target;
    for (const std::string_view scheme : { "http://", "https://" }) {
        if (!target.starts_with(scheme))
            continue;
        const std::size_t path = target.find('/', scheme.size());
        return path == std::string::npos ? "/" : target.substr(path);
    }
    return target;
}

RequestKind kindOf(const std::string& resource)
{
    const std::string path = resource.substr(0, resource.find('?'));
    if (path == completionsPath)
        return RequestKind::Completion;
    if (path == chatCompletionsPath)
        return RequestKind::ChatCompletion;
    if (path == modelsPath)
        return RequestKind::Models;
    return path.starts_with(servicesPrefix) ? RequestKind::Service : RequestKind::Other;
}

std::string kindText(RequestKind kind)
{
    switch (kind) {
    case RequestKind::Completion:
        return "completion";
    case RequestKind::ChatCompletion:
        return "chat_completion";
    case RequestKind::Service:
        return "service";
    case RequestKind::Models:
        return "models";
    case RequestKind::Other:
        break;
    }
    return "other";
}

std::optional<HeadRefusal> checkHead(const http::Request& request, RequestKind kind)
{
    // Answers are sent in chunks. HTTP/1.0 does not support these, so its clients could not tell a complete answer from
    // a truncated one.
    if (!request.isVersion11)
        return HeadRefusal { { ErrorCode::BadRequest, step, "", "expected HTTP/1.1" }, versionNotSupported };
    if (kind == RequestKind::Other)
        return HeadRefusal { { ErrorCode::NotFound, "check path", "", "no such path" } };
    const std::string method = requiredMethod(kind);
    if (!method.empty() && request.method != method)
        return HeadRefusal { { ErrorCode::BadRequest, "check method", "", "expected " + method }, methodNotAllowed };
    // Which software version wrote the caller's events isn't known here, and that of the next upstream may differ.
    const bool isForModel = kind == RequestKind::Completion || kind == RequestKind::ChatCompletion;
    if (isForModel && request.headers.count(lastEventHeader) > 0)
        return HeadRefusal { { ErrorCode::BadRequest, step, "", "Last-Event-Id: a stream can't be taken up again" } };
    return std::nullopt;
}

} // namespace lagoon::callers
