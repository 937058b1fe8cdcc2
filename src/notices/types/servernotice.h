#pragma once

#include "framework/types/time.h"

#include <optional>
#include <string_view>

/// What servers say in the heads of their answers about whether they take further requests: see docs/DESIGN.md.
namespace lagoon::notices {

/// The longest rest that a server gets.
inline constexpr framework::Milliseconds maxRest { 24 * 3600 * 1000LL };

/// The notice in the head of one answer.
struct ServerNotice {
    /// The server finishes its requests and ends soon.
    bool isLeaving = false;
    /// The server wants no requests from this process for so long; std::nullopt if it asks for no rest.
    std::optional<framework::Milliseconds> rest;
    /// The server asks for a rest whose length can't be read.
    bool isRestUnreadable = false;
};

/// Parses a decimal number of seconds that isn't negative. The result is rounded up to milliseconds and is at most
/// `maxRest`.
std::optional<framework::Milliseconds> parseRest(std::string_view);

/// Adds one field that states a rest. Of several rests the longest counts.
void addRest(ServerNotice&, std::string_view value);
/// Adds one field that states whether the server leaves.
void addLeaving(ServerNotice&, std::string_view value);

} // namespace lagoon::notices
