#include "callers/internal/headcheck.h"

#include "callers/internal/requestheaders.h"

#include <algorithm>

namespace lagoon::callers {

using framework::ErrorCode;
using web::http::header_names;
using web::http::http_request;
using web::http::methods;
using web::http::status_codes;

namespace {

constexpr const char* completionsPath = "/v1/completions";
constexpr const char* chatCompletionsPath = "/v1/chat/completions";
constexpr const char* modelsPath = "/v1/models";
constexpr unsigned short headersTooLarge = 431;
constexpr const char* step = "check headers";
constexpr const char* lastEventHeader = "Last-Event-Id";

/// Returns an empty string if any method is allowed.
std::string requiredMethod(RequestKind kind)
{
    if (kind == RequestKind::Completion || kind == RequestKind::ChatCompletion)
        return methods::POST;
    return kind == RequestKind::Models ? methods::GET : std::string();
}

bool isDecimal(const std::string& text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char digit) { return digit >= '0' && digit <= '9'; });
}

/// cpprest treats an unparsable Content-Length as 0 bytes and a negative one as a huge length, so the request would run
/// without its body or wait forever. If there is a Transfer-Encoding too, a proxy in front of the router may have used
/// the other of the two.
bool isLengthAmbiguous(const web::http::http_headers& headers)
{
    const auto length = headers.find(header_names::content_length);
    if (length == headers.end())
        return false;
    return !isDecimal(length->second) || headers.has(header_names::transfer_encoding);
}

bool isLengthAboveLimit(const web::http::http_headers& headers, std::size_t limit)
{
    const auto length = headers.find(header_names::content_length);
    if (length == headers.end())
        return false;
    constexpr std::size_t maxParsableDigits = 18;
    return length->second.size() > maxParsableDigits || std::stoull(length->second) > limit;
}

} // namespace

RequestKind kindOf(const http_request& request)
{
    const std::string path = request.request_uri().path();
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

std::optional<EarlyRefusal> checkHead(const http_request& request, RequestKind kind, const CallerLimits& limits)
{
    const web::http::http_headers& headers = request.headers();
    if (isLengthAmbiguous(headers))
        return EarlyRefusal { { ErrorCode::BadRequest, step, "", "the body's length is unclear" }, std::nullopt, true };
    if (isLengthAboveLimit(headers, limits.bodyBytes))
        return EarlyRefusal { { ErrorCode::TooLarge, step, "",
                                  "the body is larger than " + std::to_string(limits.bodyBytes) + " bytes" },
            std::nullopt, true };
    if (headerBytes(headers) + request.request_uri().to_string().size() > limits.headerBytes)
        return EarlyRefusal { { ErrorCode::TooLarge, step, "",
                                  "the headers are larger than " + std::to_string(limits.headerBytes) + " bytes" },
            headersTooLarge, true };
    // Answers are sent in chunks. HTTP/1.0 does not support these, so its clients could not tell a complete answer from
    // a truncated one.
    if (request.http_version() < web::http::http_versions::HTTP_1_1)
        return EarlyRefusal { { ErrorCode::BadRequest, step, "", "expected HTTP/1.1" },
            status_codes::HttpVersionNotSupported, true };
    if (kind == RequestKind::Other)
        return EarlyRefusal { { ErrorCode::NotFound, "check path", "", "no such path" }, std::nullopt, false };
    const std::string method = requiredMethod(kind);
    if (!method.empty() && request.method() != method)
        return EarlyRefusal { { ErrorCode::BadRequest, "check method", "", "expected " + method },
            status_codes::MethodNotAllowed, false };
    // Which software version wrote the caller's events isn't known here, and that of the next upstream may differ.
    const bool isForModel = kind == RequestKind::Completion || kind == RequestKind::ChatCompletion;
    if (isForModel && headers.has(lastEventHeader))
        return EarlyRefusal { { ErrorCode::BadRequest, step, "", "Last-Event-Id: a stream can't be taken up again" },
            std::nullopt, false };
    return std::nullopt;
}

} // namespace lagoon::callers
