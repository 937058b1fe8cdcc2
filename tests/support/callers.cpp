#include "support/callers.h"

#include <optional>
#include <sstream>

namespace lagoon::testsupport {

using web::json::value;

namespace {

const std::string dataPrefix = "data: ";
const std::string endOfStream = "[DONE]";

std::string textOfChoice(const value& json)
{
    if (!json.has_array_field("choices") || json.at("choices").size() != 1)
        return "";
    const value& choice = json.at("choices").at(0);
    return choice.has_string_field("text") ? choice.at("text").as_string() : "";
}

std::string describeFailure(const HttpAnswer& answer)
{
    return "(no completion: " + std::to_string(answer.status) + " " + answer.failure + " " + answer.body + ")";
}

/// The text of a streamed completion; std::nullopt if the stream lacks its last event, that is, if it was cut off.
std::optional<std::string> textOfStream(const std::string& body)
{
    std::string text;
    std::istringstream lines(body);
    for (std::string line; std::getline(lines, line);) {
        if (line.compare(0, dataPrefix.size(), dataPrefix) != 0)
            continue;
        const std::string data = line.substr(dataPrefix.size());
        if (data == endOfStream)
            return text;
        std::error_code error;
        const value json = value::parse(data, error);
        if (!error)
            text += textOfChoice(json);
    }
    return std::nullopt;
}

} // namespace

HttpCall completionCall(
    const std::string& callers, const std::string& model, const std::string& prompt, const CompletionOptions& options)
{
    value body;
    body["model"] = value::string(model);
    body["prompt"] = value::string(prompt);
    body["stream"] = value::boolean(options.isStream);
    if (options.maxTokens > 0)
        body["max_tokens"] = value::number(options.maxTokens);
    HttpCall call {
        .method = "POST", .url = urlOf(callers, "/v1/completions"), .body = body.serialize(), .headers = options.headers
    };
    call.headers["X-Lagoon-Timeout-Ms"] = std::to_string(options.timeoutMs);
    return call;
}

HttpCall serviceCall(const std::string& callers, const std::string& service, const std::string& token,
    const std::map<std::string, std::string>& headers)
{
    value body;
    body["token"] = value::string(token);
    return { .method = "POST",
        .url = urlOf(callers, "/services/" + service + "/holds?day=2"),
        .body = body.serialize(),
        .headers = headers };
}

std::string completionText(const HttpAnswer& answer)
{
    if (!answer.isComplete() || answer.status != 200)
        return describeFailure(answer);
    const value json = answer.json();
    if (!json.is_null())
        return textOfChoice(json);
    return textOfStream(answer.body).value_or(describeFailure(answer));
}

std::string refusalField(const HttpAnswer& answer, const std::string& field)
{
    const value json = answer.json();
    if (!json.has_object_field("error") || !json.at("error").has_string_field(field))
        return "";
    return json.at("error").at(field).as_string();
}

} // namespace lagoon::testsupport
