#pragma once

#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::forwarding {

/// A part of a prompt. An engine that has processed the parts at the beginning of one prompt reuses them for requests
/// whose prompts begin with the same parts.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

/// The properties of a request that its headers state.
struct RequestFacts {
    /// The id of this attempt of the caller; each attempt has its own.
    std::string attempt;
    /// Who sends the request, as far as the request states it.
    std::string caller;
    /// How long the caller waits for the answer, counted from receipt.
    std::optional<framework::Milliseconds> timeLeft;
    /// Empty for plain services.
    framework::ModelName model;
    framework::AdapterName adapter;
    /// Whether the request states its numbers of tokens.
    bool statesTokens = false;
    catalog::Tokens promptTokens;
    catalog::Tokens maxOutputTokens;
    std::vector<PromptPart> prompt;
    /// The id of the last event that the caller has received, if it resumes a stream.
    std::optional<std::uint64_t> lastEvent;
    /// The attempt that brought the first event of that stream; empty if the request names none.
    std::string resumedAttempt;
};

} // namespace lagoon::forwarding
