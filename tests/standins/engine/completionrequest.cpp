#include "standins/engine/completionrequest.h"

#include "standins/common/standinprogram.h"

#include <sstream>

namespace lagoon::standins {

using web::json::value;

namespace {

std::string promptOf(const value& body)
{
    if (!body.has_array_field("messages") || body.at("messages").size() == 0)
        return textField(body, "prompt");
    const value& messages = body.at("messages");
    return textField(messages.at(messages.size() - 1), "content");
}

value completionObject(const CompletionRequest& request, const std::string& object, const value& choice)
{
    value json;
    json["id"] = value::string("standin");
    json["object"] = value::string(object);
    json["model"] = value::string(request.model);
    json["choices"] = value::array({ choice });
    return json;
}

value choiceOf(const CompletionRequest& request, const std::string& text, const std::string& chatField)
{
    value choice;
    choice["index"] = value::number(0);
    if (request.isChat)
        choice[chatField]["content"] = value::string(text);
    else
        choice["text"] = value::string(text);
    return choice;
}

} // namespace

std::string CompletionRequest::token(std::uint64_t index) const
{
    const std::string word = words_.empty() ? "(empty)" : words_[index % words_.size()];
    return index == 0 ? word : " " + word;
}

CompletionRequest parseCompletion(const HttpRequest& request)
{
    const value body = parseBody(request.body);
    CompletionRequest completion;
    completion.model = textField(body, "model");
    const std::size_t slash = completion.model.find('/');
    completion.target.model = completion.model.substr(0, slash);
    if (slash != std::string::npos)
        completion.target.adapter = completion.model.substr(slash + 1);
    completion.prompt = promptOf(body);
    std::istringstream words(completion.prompt);
    for (std::string word; words >> word;)
        completion.words_.push_back(word);
    const std::uint64_t requestedTokens = numberField(body, "max_tokens");
    completion.tokens = requestedTokens > 0 ? requestedTokens : std::max<std::uint64_t>(1, completion.words_.size());
    completion.isChat = request.path == "/v1/chat/completions";
    completion.isStream = body.has_boolean_field("stream") && body.at("stream").as_bool();
    return completion;
}

std::string completionJson(const CompletionRequest& request)
{
    std::string text;
    for (std::uint64_t index = 0; index < request.tokens; ++index)
        text += request.token(index);
    value choice = choiceOf(request, text, "message");
    choice["finish_reason"] = value::string("stop");
    value json = completionObject(request, request.isChat ? "chat.completion" : "text_completion", choice);
    json["usage"]["completion_tokens"] = value::number(request.tokens);
    return json.serialize();
}

std::string completionEvent(const CompletionRequest& request, std::uint64_t index)
{
    const value choice = choiceOf(request, request.token(index), "delta");
    const std::string object = request.isChat ? "chat.completion.chunk" : "text_completion";
    return "data: " + completionObject(request, object, choice).serialize() + "\n\n";
}

} // namespace lagoon::standins
