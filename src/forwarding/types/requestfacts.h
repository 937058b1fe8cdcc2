#pragma once

#include "catalog/types/units.h"
#include "framework/types/ids.h"
#include "framework/types/time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::forwarding {

/// A part of a prompt. Requests whose prompts begin with the same parts share what an engine has read of them.
struct PromptPart {
    std::string id;
    std::uint32_t tokens = 0;
};

/// What a request's headers state.
struct RequestFacts {
    /// Names this try of the caller; another try has another.
    std::string attempt;
    /// How long the caller waits, from receipt.
    std::optional<framework::Milliseconds> timeLeft;
    /// Empty for plain services.
    framework::ModelName model;
    framework::AdapterName adapter;
    catalog::Tokens promptTokens;
    catalog::Tokens maxOutputTokens;
    std::vector<PromptPart> prompt;
    /// The last event that the caller already has.
    std::optional<std::uint64_t> lastEvent;
};

} // namespace lagoon::forwarding
