#include "agent/internal/httpmodelengine.h"

#include "framework/checkedjson.h"

#include <cpprest/http_client.h>

namespace lagoon::agent {

namespace {

using framework::Deadline;
using framework::Error;
using framework::ErrorCode;
using framework::Execution;
using framework::Result;
using web::http::client::http_client;
using web::http::client::http_client_config;

constexpr framework::JsonLimits stateLimits { std::size_t(16) * 1024 * 1024, 16 };

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

struct Answer {
    unsigned short status = 0;
    std::string body;
};

/// Makes one HTTP call and waits for its answer. Errors have `Execution::Unknown` unless nothing was sent: no time was
/// left or the connection was refused.
Result<Answer> call(const std::string& url, const web::http::http_request& request, Deadline deadline)
{
    const auto remaining = deadline.remaining(std::chrono::steady_clock::now());
    const auto fault = [&](const char* detail, Execution execution) {
        return Error { ErrorCode::UpstreamFailed, "call engine", url, detail, execution };
    };
    if (remaining.count() == 0)
        return fault("no time is left", Execution::NotRun);
    try {
        http_client_config config;
        config.set_timeout(remaining);
        http_client client(web::uri(url), config);
        auto response = client.request(request).get();
        return Answer { response.status_code(), response.extract_utf8string(true).get() };
    } catch (const std::exception& exception) {
        const bool isRefused = std::string(exception.what()).rfind("Failed to connect", 0) == 0;
        return fault(exception.what(), isRefused ? Execution::NotRun : Execution::Unknown);
    }
}

class HttpModelEngine final : public IModelEngine {
public:
    explicit HttpModelEngine(std::string url)
        : url_(std::move(url))
    {
    }

    Result<EngineState> state(Deadline deadline) override
    {
        web::http::http_request request(web::http::methods::GET);
        request.set_request_uri("/v1/state");
        BOOST_OUTCOME_TRY(answer, call(url_, request, deadline));
        if (answer.status != web::http::status_codes::OK)
            return Error { ErrorCode::UpstreamFailed, "read engine state", url_, std::to_string(answer.status) };
        return parseEngineState(answer.body, url_);
    }

    Result<void> load(const EngineOrder& order, Deadline deadline) override { return send("load", order, deadline); }
    Result<void> unload(const EngineOrder& order, Deadline deadline) override
    {
        return send("unload", order, deadline);
    }

private:
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
        web::http::http_request request(web::http::methods::POST);
        request.set_request_uri("/v1/orders");
        request.set_body(body);
        BOOST_OUTCOME_TRY(answer, call(url_, request, deadline));
        return parseOrderAnswer(name, answer);
    }

    Result<void> parseOrderAnswer(const std::string& name, const Answer& answer) const
    {
        const std::string step = "order " + name;
        if (answer.status == web::http::status_codes::Accepted || answer.status == web::http::status_codes::OK)
            return framework::success();
        if (answer.status == web::http::status_codes::Conflict) {
            const bool isStale = answer.body.find("stale_fence") != std::string::npos;
            return Error { isStale ? ErrorCode::Fenced : ErrorCode::NotLoaded, step, url_, answer.body };
        }
        constexpr unsigned short insufficientStorage = 507;
        if (answer.status == insufficientStorage)
            return Error { ErrorCode::MemoryShort, step, url_, answer.body };
        return Error { ErrorCode::UpstreamFailed, step, url_, std::to_string(answer.status), Execution::Unknown };
    }

    std::string url_;
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
