#pragma once

#include "standins/common/httpserver.h"
#include "standins/engine/replicatable.h"

#include <functional>
#include <string>
#include <vector>

namespace lagoon::standins {

/// A request to `/v1/completions` or `/v1/chat/completions`.
struct CompletionRequest {
    ReplicaKey target;
    /// The model as the caller named it: `model` or `model/adapter`.
    std::string model;
    std::string prompt;
    /// The number of tokens to generate: `max_tokens`, or else the number of words in the prompt (at least 1).
    std::uint64_t tokens = 0;
    bool isChat = false;
    bool isStream = false;

    /// Returns a token of the answer. The answer repeats the words of the prompt, so that tests can tell it from the
    /// answer to any other request.
    std::string token(std::uint64_t index) const;

private:
    std::vector<std::string> words_;
    friend CompletionRequest parseCompletion(const HttpRequest&);
};

CompletionRequest parseCompletion(const HttpRequest&);

/// Returns the complete answer of a request that isn't streamed.
std::string completionJson(const CompletionRequest&);
/// Returns the server-sent event for one token.
std::string completionEvent(const CompletionRequest&, std::uint64_t index);

} // namespace lagoon::standins
