#include "callers/internal/requestheaders.h"

#include <algorithm>
#include <array>
#include <boost/algorithm/string/predicate.hpp>
#include <charconv>
#include <string_view>

namespace lagoon::callers {

using framework::Error;
using framework::ErrorCode;
using framework::Result;

namespace {

constexpr const char* timeoutHeader = "X-Lagoon-Timeout-Ms";
constexpr const char* repeatableHeader = "X-Lagoon-Repeatable";
constexpr const char* priorityHeader = "X-Lagoon-Priority";
constexpr const char* idempotencyHeader = "Idempotency-Key";
constexpr std::uint64_t maxPriority = 9;
constexpr std::uint64_t maxTimeoutMs = 1000ULL * 60 * 60 * 24 * 365;
constexpr std::size_t maxIdempotencyKeyLength = 255;

/// Handled by each hop itself.
constexpr std::string_view expectHeader = "Expect";
/// Set by the agent. A caller's own values could impersonate another request.
constexpr std::array<std::string_view, 3> agentHeaders { "Host", "X-Request-Id", "X-Priority" };
constexpr std::string_view internalHeaderPrefix = "X-Lagoon-";

template <std::size_t size> bool contains(const std::array<std::string_view, size>& names, const std::string& name)
{
    return std::any_of(
        names.begin(), names.end(), [&](std::string_view listed) { return boost::iequals(listed, name); });
}

Error badHeader(const std::string& name, const std::string& expected)
{
    return { ErrorCode::BadRequest, "check headers", "", name + ": expected " + expected };
}

/// Returns std::nullopt if the header is absent. Two headers of a name, which could contradict each other, are an
/// error.
Result<std::optional<std::string>> readSingle(const http::Headers& headers, const std::string& name)
{
    if (headers.count(name) > 1)
        return badHeader(name, "one value");
    const auto found = headers.find(name);
    return found ? std::optional<std::string>(*found) : std::nullopt;
}

/// Returns std::nullopt if the header is absent.
Result<std::optional<std::uint64_t>> readNumber(
    const http::Headers& headers, const std::string& name, std::uint64_t min, std::uint64_t max)
{
    BOOST_OUTCOME_TRY(text, readSingle(headers, name));
    if (!text)
        return std::optional<std::uint64_t>();
    std::uint64_t number = 0;
    const auto [end, error] = std::from_chars(text->data(), text->data() + text->size(), number);
    if (error != std::errc() || end != text->data() + text->size() || number < min || number > max)
        return badHeader(name, "a whole number from " + std::to_string(min) + " to " + std::to_string(max));
    return std::optional<std::uint64_t>(number);
}

Result<std::optional<bool>> readFlag(const http::Headers& headers, const std::string& name)
{
    BOOST_OUTCOME_TRY(text, readSingle(headers, name));
    if (!text)
        return std::optional<bool>();
    if (*text != "true" && *text != "false")
        return badHeader(name, "true or false");
    return std::optional<bool>(*text == "true");
}

Result<std::optional<std::string>> readIdempotencyKey(const http::Headers& headers)
{
    BOOST_OUTCOME_TRY(key, readSingle(headers, idempotencyHeader));
    if (!key)
        return key;
    const bool isPrintable
        = std::all_of(key->begin(), key->end(), [](char character) { return character >= ' ' && character <= '~'; });
    if (key->empty() || key->size() > maxIdempotencyKeyLength || !isPrintable)
        return badHeader(
            idempotencyHeader, "1 to " + std::to_string(maxIdempotencyKeyLength) + " printable ASCII characters");
    return key;
}

} // namespace

Result<RequestOptions> readRequestOptions(const http::Headers& headers)
{
    RequestOptions options;
    BOOST_OUTCOME_TRY(timeout, readNumber(headers, timeoutHeader, 1, maxTimeoutMs));
    BOOST_OUTCOME_TRY(priority, readNumber(headers, priorityHeader, 0, maxPriority));
    BOOST_OUTCOME_TRY(isRepeatable, readFlag(headers, repeatableHeader));
    BOOST_OUTCOME_TRY(idempotencyKey, readIdempotencyKey(headers));
    if (timeout)
        options.timeout = framework::Milliseconds(*timeout);
    if (priority)
        options.priority = static_cast<std::uint8_t>(*priority);
    options.isRepeatable = isRepeatable;
    options.idempotencyKey = std::move(idempotencyKey);
    return options;
}

bool isEndToEndHeader(const std::string& name)
{
    return !http::isConnectionField(name) && !boost::iequals(name, expectHeader)
        && !boost::istarts_with(name, internalHeaderPrefix);
}

HttpHeaders upstreamHeaders(const http::Headers& headers)
{
    HttpHeaders forwarded;
    for (const auto& [name, value] : headers.fields()) {
        if (!isEndToEndHeader(name) || contains(agentHeaders, name))
            continue;
        forwarded.emplace_back(name, value);
    }
    return forwarded;
}

} // namespace lagoon::callers
