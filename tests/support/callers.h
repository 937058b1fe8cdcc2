#pragma once

#include "support/httpcall.h"

#include <cstdint>
#include <string>

/// What callers of the system send and read.
namespace lagoon::testsupport {

struct CompletionOptions {
    bool isStream = false;
    std::uint64_t timeoutMs = 20000;
    /// 0: as many tokens as the prompt has words.
    std::uint64_t maxTokens = 0;
    std::map<std::string, std::string> headers = {};
};

/// A completion at a router's `callers` endpoint.
HttpCall completionCall(
    const std::string& callers, const std::string& model, const std::string& prompt, const CompletionOptions& = {});
/// A call of a plain service; the body's `token` names it in the service's record.
HttpCall serviceCall(const std::string& callers, const std::string& service, const std::string& token,
    const std::map<std::string, std::string>& headers = {});

/// The text of a whole completion, streamed or not; a description in brackets of any other answer.
std::string completionText(const HttpAnswer&);
/// A refusal's `code`, `execution` and so on; empty if the answer is no refusal.
std::string refusalField(const HttpAnswer&, const std::string& field);

} // namespace lagoon::testsupport
