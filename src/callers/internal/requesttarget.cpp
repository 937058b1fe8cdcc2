#include "callers/internal/requesttarget.h"

#include "framework/checkedjson.h"
#include "policy/rendezvous.h"

#include <cpprest/json.h>

namespace lagoon::callers {

using framework::AdapterName;
using framework::Error;
using framework::ErrorCode;
using framework::ModelName;
using framework::Result;
using web::json::value;

namespace {

constexpr std::size_t prefixBytes = 256;
constexpr const char* step = "read request";

Error badBody(const std::string& detail) { return { ErrorCode::BadRequest, step, "", detail }; }

void appendPrefix(std::string& prefix, const value& text)
{
    if (text.is_string() && prefix.size() < prefixBytes)
        prefix.append(text.as_string(), 0, prefixBytes - prefix.size());
}

std::string promptPrefix(const value& body)
{
    std::string prefix;
    if (body.has_field("prompt"))
        appendPrefix(prefix, body.at("prompt"));
    if (!body.has_array_field("messages"))
        return prefix;
    for (const value& message : body.at("messages").as_array()) {
        if (!message.has_field("content"))
            continue;
        appendPrefix(prefix, message.at("content"));
        if (prefix.size() >= prefixBytes)
            break;
    }
    return prefix;
}

/// A body with two "model" keys is refused, since the router and the engine could each use a different one.
bool hasTwoModels(const web::json::object& body)
{
    return std::count_if(body.begin(), body.end(), [](const auto& field) { return field.first == "model"; }) > 1;
}

value modelEntry(const std::string& id)
{
    return value::object({ { "id", value::string(id) }, { "object", value::string("model") } }, true);
}

} // namespace

Result<CompletionBody> readCompletionBody(const std::string& body, std::size_t jsonDepth)
{
    BOOST_OUTCOME_TRY(json, framework::parseJson(body, "body", ErrorCode::BadRequest, { body.size(), jsonDepth }));
    if (!json.is_object())
        return badBody("expected a JSON object");
    if (!json.has_string_field("model") || hasTwoModels(json.as_object()))
        return badBody("key \"model\": expected one text");
    const std::string name = json.at("model").as_string();
    const std::size_t slash = name.find('/');
    CompletionBody completion;
    completion.model = ModelName(name.substr(0, slash));
    if (slash != std::string::npos)
        completion.adapter = AdapterName(name.substr(slash + 1));
    if (completion.model.value().empty() || (slash != std::string::npos && completion.adapter.value().empty()))
        return badBody("key \"model\": expected \"model\" or \"model/adapter\"");
    const std::string prefix = promptPrefix(json);
    if (!prefix.empty())
        completion.prefixHash = policy::fnv1a(prefix.data(), prefix.size());
    return completion;
}

Result<bundle::RequestDefaults> findDefaults(const bundle::Bundle& bundle, const RequestTarget& target)
{
    constexpr const char* lookUp = "look up in bundle";
    const std::string peer = "bundle " + std::to_string(bundle.version.value());
    if (target.isService()) {
        const bundle::Service* service = bundle.service(target.service);
        if (!service)
            return Error { ErrorCode::UnknownService, lookUp, peer, "no service " + target.service.value() };
        return service->defaults;
    }
    const bundle::Model* model = bundle.model(target.model);
    if (!model)
        return Error { ErrorCode::UnknownModel, lookUp, peer, "no model " + target.model.value() };
    if (!target.adapter.value().empty() && !bundle.adapter(target.model, target.adapter))
        return Error { ErrorCode::UnknownAdapter, lookUp, peer,
            "no adapter " + target.adapter.value() + " of model " + target.model.value() };
    return model->defaults;
}

std::string modelList(const bundle::Bundle& bundle)
{
    std::vector<value> models;
    for (const auto& [name, model] : bundle.models)
        models.push_back(modelEntry(name.value()));
    for (const auto& [model, adapters] : bundle.adapters) {
        for (const auto& [name, adapter] : adapters)
            models.push_back(modelEntry(model.value() + "/" + name.value()));
    }
    return value::object({ { "object", value::string("list") }, { "data", value::array(std::move(models)) } }, true)
        .serialize();
}

} // namespace lagoon::callers
