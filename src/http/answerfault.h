#pragma once

#include <string>
#include <string_view>

/// What is wrong with an answer, wherever it comes from. Texts name the fault with at most a few bytes of the answer,
/// all of them printable; they are empty if nothing is wrong.
namespace lagoon::http {

/// Of a final answer.
std::string statusFault(unsigned status);
/// Of one field of a head. The value isn't quoted, as it may be secret.
std::string fieldFault(std::string_view name, std::string_view value);

/// The beginning of the text in quotes, with bytes escaped that aren't printable ASCII.
std::string quotedBeginning(std::string_view text);

} // namespace lagoon::http
