#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace lagoon::http {

/// What is malformed in an answer.
struct AnswerFault {
    /// Has no bytes of the answer.
    std::string what;
    /// The beginning of what is malformed, as printable text in quotes; may be empty. For the log alone: a server in
    /// trouble may send bytes of any request.
    std::string quote = {};

    std::string logText() const { return quote.empty() ? what : what + ": " + quote; }
};

/// Returns the fault of a final answer's status, or std::nullopt if there is none.
std::optional<AnswerFault> statusFault(unsigned status);
/// Returns the fault of one field of a head, or std::nullopt if there is none. Quotes the name only, as the value may
/// be secret.
std::optional<AnswerFault> fieldFault(std::string_view name, std::string_view value);

/// The beginning of the text in quotes, with bytes escaped that aren't printable ASCII.
std::string quotedBeginning(std::string_view text);

} // namespace lagoon::http
