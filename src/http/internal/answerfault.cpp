#include "http/answerfault.h"

#include <algorithm>
#include <array>
#include <cstdio>

namespace lagoon::http {

namespace {

constexpr unsigned minFinalStatus = 200;
constexpr unsigned maxStatus = 599;
constexpr std::size_t maxQuotedBytes = 48;

bool isPrintable(char character) { return character >= ' ' && character <= '~'; }

/// A `tchar` of RFC 9110, 5.6.2.
bool isTokenCharacter(char character)
{
    constexpr std::string_view delimiters = "\"(),/:;<=>?@[\\]{} ";
    return isPrintable(character) && delimiters.find(character) == std::string_view::npos;
}

/// Whether a field's value may have it (RFC 9110, 5.5), also beyond ASCII.
bool isValueCharacter(char character)
{
    const auto byte = static_cast<unsigned char>(character);
    return character == '\t' || (byte >= ' ' && byte != 0x7f);
}

} // namespace

std::optional<AnswerFault> statusFault(unsigned status)
{
    if (status >= minFinalStatus && status <= maxStatus)
        return std::nullopt;
    return AnswerFault { "bad status: " + std::to_string(status) };
}

std::optional<AnswerFault> fieldFault(std::string_view name, std::string_view value)
{
    if (name.empty() || !std::all_of(name.begin(), name.end(), isTokenCharacter))
        return AnswerFault { "bad field", quotedBeginning(name) };
    if (!std::all_of(value.begin(), value.end(), isValueCharacter))
        return AnswerFault { "bad value", quotedBeginning(name) };
    return std::nullopt;
}

std::string quotedBeginning(std::string_view text)
{
    std::string quoted = "\"";
    for (const char character : text.substr(0, maxQuotedBytes)) {
        if (isPrintable(character) && character != '"' && character != '\\') {
            quoted += character;
            continue;
        }
        std::array<char, 5> escaped {};
        std::snprintf(escaped.data(), escaped.size(), "\\x%02x", static_cast<unsigned char>(character));
        quoted += escaped.data();
    }
    return quoted + (text.size() > maxQuotedBytes ? "\"..." : "\"");
}

} // namespace lagoon::http
