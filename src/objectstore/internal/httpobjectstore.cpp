#include "objectstore/internal/httpobjectstore.h"

#include "framework/checkedjson.h"
#include "framework/iclock.h"

#include <algorithm>
#include <charconv>
#include <cpprest/uri_builder.h>

namespace lagoon::objectstore {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Milliseconds;
using framework::ObjectVersion;
using framework::Result;

constexpr std::size_t maxValueBytes = 1024 * 1024;
constexpr unsigned ok = 200;
constexpr unsigned notModified = 304;
constexpr unsigned notFound = 404;
constexpr unsigned preconditionFailed = 412;
constexpr unsigned contentTooLarge = 413;
/// Maximum wait of one watch call; longer watches take several calls. This bounds how long a silently broken connection
/// stays undetected.
constexpr Milliseconds maxWatchWait { 30000 };

std::string quoted(ObjectVersion version) { return "\"" + std::to_string(version.value()) + "\""; }

/// Parses the version in an entity tag. Returns std::nullopt if the tag isn't a quoted number greater than 0.
std::optional<ObjectVersion> versionOf(const std::string& entityTag)
{
    if (entityTag.size() < 3 || entityTag.front() != '"' || entityTag.back() != '"')
        return std::nullopt;
    const char* const end = entityTag.data() + entityTag.size() - 1;
    std::uint64_t version = 0;
    const auto [stop, errorCode] = std::from_chars(entityTag.data() + 1, end, version);
    if (errorCode != std::errc() || stop != end || version == 0)
        return std::nullopt;
    return ObjectVersion(version);
}

HttpCall objectCall(const std::string& kind, const std::string& method, const ObjectKey& key, CallEffect effect)
{
    return { kind, key.value(), effect, { method, "/v1/objects/" + key.value(), {}, {} } };
}

void expectVersion(HttpCall& call, ObjectVersion expected)
{
    if (expected == ObjectVersion())
        call.request.headers.add("If-None-Match", "*");
    else
        call.request.headers.add("If-Match", quoted(expected));
}

Result<std::vector<ListedObject>> listedObjects(const std::string& body, const std::string& prefix)
{
    const framework::JsonLimits limits { .bytes = maxAnswerBytes };
    BOOST_OUTCOME_TRY(json, framework::parseJson(body, prefix, ErrorCode::BadObject, limits));
    framework::CheckedObject answer(json, prefix, "", ErrorCode::BadObject);
    std::vector<ListedObject> result;
    for (framework::CheckedObject& entry : answer.objects("objects")) {
        const ObjectKey key(entry.text("key"));
        result.push_back({ key, ObjectVersion(entry.number("version", 1, UINT64_MAX)) });
    }
    BOOST_OUTCOME_TRYV(answer.finish());
    return result;
}

} // namespace

HttpObjectStore::HttpObjectStore(std::shared_ptr<HttpCalls> calls)
    : calls_(std::move(calls))
{
}

Result<StoredObject> HttpObjectStore::storedObject(const HttpCall& call, HttpAnswer answer)
{
    const auto version = versionOf(answer.entityTag);
    if (!version) {
        calls_->countResult(call, "malformed");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "answer without a version");
    }
    calls_->countResult(call, "ok");
    return StoredObject { std::move(answer.body), *version };
}

Result<std::optional<StoredObject>> HttpObjectStore::get(const ObjectKey& key, Deadline deadline)
{
    const HttpCall call = objectCall("get", "GET", key, CallEffect::Read);
    if (!isObjectKey(key))
        return calls_->error(call, ErrorCode::BadObject, "not a key");
    BOOST_OUTCOME_TRY(answer, calls_->send(call, deadline));
    if (answer.status == notFound) {
        calls_->countResult(call, "absent");
        return std::optional<StoredObject>();
    }
    if (answer.status != ok) {
        calls_->countResult(call, "refused");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    }
    BOOST_OUTCOME_TRY(object, storedObject(call, std::move(answer)));
    return std::optional<StoredObject>(std::move(object));
}

Result<std::vector<ListedObject>> HttpObjectStore::list(const std::string& prefix, Deadline deadline)
{
    web::uri_builder uri("/v1/objects");
    uri.append_query("prefix", prefix);
    const HttpCall call { "list", prefix, CallEffect::Read, { "GET", uri.to_string(), {}, {} } };
    BOOST_OUTCOME_TRY(answer, calls_->send(call, deadline));
    if (answer.status != ok) {
        calls_->countResult(call, "refused");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    }
    auto listed = listedObjects(answer.body, prefix);
    calls_->countResult(call, listed ? "ok" : "malformed");
    return listed;
}

Result<std::optional<StoredObject>> HttpObjectStore::watch(
    const ObjectKey& key, ObjectVersion known, Deadline deadline, std::stop_token stop)
{
    const Milliseconds wait = std::min(deadline.remaining(framework::SystemClock().now()), maxWatchWait);
    HttpCall call = objectCall("watch", "GET", key, CallEffect::Read);
    if (!isObjectKey(key))
        return calls_->error(call, ErrorCode::BadObject, "not a key");
    call.wait = wait;
    web::uri_builder uri("/v1/objects/" + key.value());
    uri.append_query("watch", known.value()).append_query("timeout_ms", wait.count());
    call.request.target = uri.to_string();
    // The server answers at the end of its wait, so the answer may arrive up to one call timeout after the deadline.
    BOOST_OUTCOME_TRY(answer, calls_->send(call, Deadline(framework::SteadyTime::max()), stop));
    if (answer.status == notModified) {
        calls_->countResult(call, "unchanged");
        return std::optional<StoredObject>();
    }
    if (answer.status == notFound) {
        calls_->countResult(call, "absent");
        return calls_->error(call, ErrorCode::NotFound, "the object is gone");
    }
    if (answer.status != ok) {
        calls_->countResult(call, "refused");
        return calls_->error(call, ErrorCode::PlatformUnavailable, "status " + std::to_string(answer.status));
    }
    BOOST_OUTCOME_TRY(object, storedObject(call, std::move(answer)));
    return std::optional<StoredObject>(std::move(object));
}

Result<ObjectVersion> HttpObjectStore::put(
    const ObjectKey& key, const std::string& value, ObjectVersion expected, Deadline deadline)
{
    HttpCall call = objectCall("put", "PUT", key, CallEffect::Write);
    if (!isObjectKey(key))
        return calls_->error(call, ErrorCode::BadObject, "not a key");
    if (value.size() > maxValueBytes)
        return calls_->error(call, ErrorCode::TooLarge, "a value holds at most 1 MiB");
    expectVersion(call, expected);
    call.request.headers.add("Content-Type", "application/json");
    call.request.body = value;
    BOOST_OUTCOME_TRY(answer, calls_->send(call, deadline));
    if (answer.status == preconditionFailed) {
        calls_->countResult(call, "conflict");
        return calls_->error(call, ErrorCode::PlatformConflict, "the object has another version");
    }
    if (answer.status != ok) {
        calls_->countResult(call, "refused");
        const bool isTooLarge = answer.status == contentTooLarge;
        return calls_->error(
            call, isTooLarge ? ErrorCode::TooLarge : ErrorCode::BadObject, "status " + std::to_string(answer.status));
    }
    const auto version = versionOf(answer.entityTag);
    calls_->countResult(call, version ? "ok" : "malformed");
    if (version)
        return *version;
    Error unknownOutcome = calls_->error(call, ErrorCode::PlatformUnavailable, "answer without a version");
    unknownOutcome.execution = Execution::Unknown;
    return unknownOutcome;
}

Result<void> HttpObjectStore::remove(const ObjectKey& key, ObjectVersion expected, Deadline deadline)
{
    HttpCall call = objectCall("remove", "DELETE", key, CallEffect::Write);
    if (!isObjectKey(key))
        return calls_->error(call, ErrorCode::BadObject, "not a key");
    call.request.headers.add("If-Match", quoted(expected));
    BOOST_OUTCOME_TRY(answer, calls_->send(call, deadline));
    if (answer.status == preconditionFailed) {
        calls_->countResult(call, "conflict");
        return calls_->error(call, ErrorCode::PlatformConflict, "the object has another version");
    }
    // An absent object is a success: an earlier call may have removed it whose answer was lost.
    const bool isGone = answer.status == ok || answer.status == notFound;
    calls_->countResult(call, isGone ? "ok" : "refused");
    if (isGone)
        return framework::success();
    return calls_->error(call, ErrorCode::BadObject, "status " + std::to_string(answer.status));
}

} // namespace lagoon::objectstore
