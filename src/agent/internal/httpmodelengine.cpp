#include "agent/internal/httpmodelengine.h"

#include "framework/checkedjson.h"
#include "http/blockingcalls.h"
#include "http/url.h"

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Result;

constexpr framework::JsonLimits stateLimits { std::size_t(16) * 1024 * 1024, 16 };
constexpr http::AnswerLimits answerLimits { stateLimits.bytes, 2 * stateLimits.bytes };
constexpr unsigned ok = 200;
constexpr unsigned accepted = 202;
constexpr unsigned conflict = 409;
constexpr unsigned insufficientStorage = 507;

/// Reads an optional field. Unlike settings, an engine's answer may have unknown keys, since engines may report more
/// than is used here.
std::string stringField(const web::json::value& object, const std::string& key)
{
    return object.has_string_field(key) ? object.at(key).as_string() : std::string();
}

std::uint64_t numberField(const web::json::value& object, const std::string& key)
{
    if (!object.has_number_field(key) || !object.at(key).as_number().is_uint64())
        return 0;
    return object.at(key).as_number().to_uint64();
}

std::vector<web::json::value> objectArray(const web::json::value& object, const std::string& key)
{
    std::vector<web::json::value> objects;
    if (!object.has_array_field(key))
        return objects;
    for (const web::json::value& part : object.at(key).as_array()) {
        if (part.is_object())
            objects.push_back(part);
    }
    return objects;
}

Checkpoint parseCheckpoint(const web::json::value& object)
{
    Checkpoint checkpoint;
    checkpoint.replica.model = framework::ModelName(stringField(object, "model"));
    checkpoint.replica.adapter = framework::AdapterName(stringField(object, "adapter"));
    checkpoint.version = framework::WeightsVersion(stringField(object, "version"));
    return checkpoint;
}

class HttpModelEngine final : public IModelEngine {
public:
    explicit HttpModelEngine(std::string url)
        : url_(std::move(url))
        , base_(http::parseUrl(url_))
        , calls_(base_.endpoint, answerLimits, http::CallClient::Connections::OnePerCall)
    {
    }

    Result<EngineState> state(Deadline deadline) override
    {
        BOOST_OUTCOME_TRY(answer, call({ "GET", base_.path + "/v1/state", {}, {} }, deadline));
        if (answer.head.status != ok)
            return Error { ErrorCode::UpstreamFailed, "read engine state", url_, std::to_string(answer.head.status) };
        return parseEngineState(answer.body, url_);
    }

    Result<void> load(const EngineOrder& order, Deadline deadline) override { return send("load", order, deadline); }
    Result<void> unload(const EngineOrder& order, Deadline deadline) override
    {
        return send("unload", order, deadline);
    }

private:
    /// Errors have `Execution::Unknown` unless nothing was sent.
    Result<http::Response> call(http::Request request, Deadline deadline)
    {
        const auto fault = [this](const std::string& detail, Execution execution) {
            return Error { ErrorCode::UpstreamFailed, "call engine", url_, detail, execution };
        };
        if (deadline.hasPassed(std::chrono::steady_clock::now()))
            return fault("no time is left", Execution::NotRun);
        auto answer = calls_.call(std::move(request), deadline);
        if (answer.has_error())
            return fault(answer.error().detail, answer.error().execution);
        return answer;
    }

    Result<void> send(const std::string& name, const EngineOrder& order, Deadline deadline)
    {
        using web::json::value;
        value body = value::object();
        body["order"] = value::string(name);
        body["model"] = value::string(order.checkpoint.replica.model.value());
        body["adapter"] = value::string(order.checkpoint.replica.adapter.value());
        body["version"] = value::string(order.checkpoint.version.value());
        body["memory_mib"] = value::number(order.memory.value());
        body["fence"] = value::number(order.fence.value());
        http::Request request { "POST", base_.path + "/v1/orders", {}, body.serialize() };
        request.headers.add("Content-Type", "application/json");
        BOOST_OUTCOME_TRY(answer, call(std::move(request), deadline));
        return parseOrderAnswer(name, answer);
    }

    Result<void> parseOrderAnswer(const std::string& name, const http::Response& answer) const
    {
        const std::string step = "order " + name;
        const unsigned status = answer.head.status;
        if (status == accepted || status == ok)
            return framework::success();
        if (status == conflict) {
            const bool isStale = answer.body.find("stale_fence") != std::string::npos;
            return Error { isStale ? ErrorCode::Fenced : ErrorCode::NotLoaded, step, url_, answer.body };
        }
        if (status == insufficientStorage)
            return Error { ErrorCode::MemoryShort, step, url_, answer.body };
        return Error { ErrorCode::UpstreamFailed, step, url_, std::to_string(status), Execution::Unknown };
    }

    std::string url_;
    http::Url base_;
    http::BlockingCalls calls_;
};

EngineReplicaState replicaState(const std::string& name)
{
    if (name == "loaded")
        return EngineReplicaState::Loaded;
    return name == "unloading" ? EngineReplicaState::Unloading : EngineReplicaState::Loading;
}

} // namespace

Result<EngineState> parseEngineState(const std::string& text, const std::string& source)
{
    constexpr auto code = ErrorCode::UpstreamFailed;
    BOOST_OUTCOME_TRY(value, framework::parseJson(text, source, code, stateLimits));
    // An incomplete state must not be taken for an empty engine: claims would be released while the engine still has
    // models loaded.
    if (!value.is_object() || numberField(value, "memory_mib") == 0 || !value.has_array_field("replicas"))
        return Error { code, "read engine state", source, "expected memory_mib above 0 and replicas" };
    if (objectArray(value, "replicas").size() != value.at("replicas").size())
        return Error { code, "read engine state", source, "a replica that isn't an object" };
    EngineState state;
    state.incarnation = numberField(value, "incarnation");
    state.memory = framework::MebiBytes(numberField(value, "memory_mib"));
    for (const web::json::value& part : objectArray(value, "replicas")) {
        if (stringField(part, "model").empty())
            return Error { code, "read engine state", source, "a replica without its model" };
        const framework::MebiBytes memory(numberField(part, "memory_mib"));
        state.replicas.push_back({ parseCheckpoint(part), memory, replicaState(stringField(part, "state")) });
    }
    for (const web::json::value& part : objectArray(value, "checkpoints")) {
        const bool isInMemory = stringField(part, "place") == "memory";
        state.checkpoints.push_back({ parseCheckpoint(part),
            isInMemory ? policy::CheckpointLocation::Memory : policy::CheckpointLocation::Disk });
    }
    return state;
}

std::shared_ptr<IModelEngine> makeHttpModelEngine(const std::string& url)
{
    return std::make_shared<HttpModelEngine>(url);
}

} // namespace lagoon::agent
