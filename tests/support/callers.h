#pragma once

#include "support/httpcall.h"

#include <cstdint>
#include <string>

/// Requests that callers send to routers, and the parsing of their answers.
namespace lagoon::testsupport {

struct CompletionOptions {
    bool isStream = false;
    std::uint64_t timeoutMs = 20000;
    /// 0: the answer has as many tokens as the prompt has words.
    std::uint64_t maxTokens = 0;
    std::map<std::string, std::string> headers = {};
};

/// A request for a completion at a router's `callers` endpoint.
HttpCall completionCall(
    const std::string& callers, const std::string& model, const std::string& prompt, const CompletionOptions& = {});
/// A request to a plain service. The `token` in the body identifies the call in the service's record.
HttpCall serviceCall(const std::string& callers, const std::string& service, const std::string& token,
    const std::map<std::string, std::string>& headers = {});

/// The text of a complete completion, streamed or not; for any other answer a description in parentheses.
std::string completionText(const HttpAnswer&);
/// A text field of a refusal, such as `code` or `execution`; empty if the answer is not a refusal or lacks the field.
std::string refusalField(const HttpAnswer&, const std::string& field);

} // namespace lagoon::testsupport
