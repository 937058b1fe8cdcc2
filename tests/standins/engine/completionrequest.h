#pragma once

#include "standins/common/httpserver.h"
#include "standins/engine/replicatable.h"

#include <functional>
#include <string>
#include <vector>

namespace lagoon::standins {

/// A completion as asked for in the customary JSON.
struct CompletionRequest {
    ReplicaKey target;
    /// As the caller named it: `model` or `model/adapter`.
    std::string model;
    std::string prompt;
    std::uint64_t tokens = 0;
    bool isChat = false;
    bool isStream = false;

    /// The answer's next token: the prompt's words again and again, so that no other request's answer looks the same.
    std::string token(std::uint64_t index) const;

private:
    std::vector<std::string> words_;
    friend CompletionRequest parseCompletion(const HttpRequest&);
};

CompletionRequest parseCompletion(const HttpRequest&);

/// The whole answer, not streamed.
std::string completionJson(const CompletionRequest&);
/// The server-sent event of one token.
std::string completionEvent(const CompletionRequest&, std::uint64_t index);

} // namespace lagoon::standins
