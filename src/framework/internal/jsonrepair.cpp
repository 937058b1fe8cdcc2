#include "framework/jsonrepair.h"

#include <algorithm>

namespace lagoon::framework {

namespace {

bool isSpace(char character) { return character == ' ' || character == '\t' || character == '\n' || character == '\r'; }

/// Finds the ends of values in a text by quotes and brackets only, whether or not the values can be parsed.
class Scanner {
public:
    explicit Scanner(const std::string& text)
        : text_(text)
    {
    }

    /// Returns the position after the closing quote of the string that begins at `at`.
    std::size_t endOfString(std::size_t at) const
    {
        for (++at; at < text_.size(); ++at) {
            if (text_[at] == '\\')
                ++at;
            else if (text_[at] == '"')
                return at + 1;
        }
        return text_.size();
    }

    std::size_t skipSpace(std::size_t at) const
    {
        while (at < text_.size() && isSpace(text_[at]))
            ++at;
        return at;
    }

    /// Returns the position after the value that begins at `at`. The value is a string, a bracketed text, or everything
    /// up to the next comma or closing bracket.
    std::size_t endOfValue(std::size_t at) const
    {
        std::size_t depth = 0;
        while (at < text_.size()) {
            const char character = text_[at];
            if (character == '"') {
                at = endOfString(at);
                if (depth == 0)
                    return at;
                continue;
            }
            const bool isClosing = character == '}' || character == ']';
            if (depth == 0 && (isClosing || character == ','))
                return at;
            ++at;
            if (character == '{' || character == '[')
                ++depth;
            else if (isClosing && --depth == 0)
                return at;
        }
        return at;
    }

private:
    const std::string& text_;
};

bool isParsable(const std::string& value, JsonLimits limits)
{
    return parseJson(value, {}, ErrorCode::BadObject, limits).has_value();
}

} // namespace

std::string replaceUnparsableMembers(
    const std::string& text, const std::vector<std::string>& memberNames, JsonLimits limits)
{
    const Scanner scanner(text);
    std::string result;
    result.reserve(text.size());
    std::size_t depth = 0;
    for (std::size_t at = 0; at < text.size();) {
        const char character = text[at];
        if (character != '"') {
            if (character == '{' || character == '[')
                ++depth;
            else if ((character == '}' || character == ']') && depth > 0)
                --depth;
            result += character;
            ++at;
            continue;
        }
        const std::size_t nameEnd = scanner.endOfString(at);
        const std::size_t colon = scanner.skipSpace(nameEnd);
        const std::string name = text.substr(at + 1, nameEnd - std::min(nameEnd, at + 2));
        const bool isMember = colon < text.size() && text[colon] == ':'
            && std::find(memberNames.begin(), memberNames.end(), name) != memberNames.end();
        if (!isMember) {
            result.append(text, at, nameEnd - at);
            at = nameEnd;
            continue;
        }
        const std::size_t begin = scanner.skipSpace(colon + 1);
        const std::size_t end = scanner.endOfValue(begin);
        const std::string value = text.substr(begin, end - begin);
        // The limits apply to the whole text, so the value may only use the depth that its surroundings leave, and no
        // value more than half of the memory.
        const JsonLimits remaining { limits.bytes, limits.depth - std::min(limits.depth, depth), limits.memory / 2 };
        result.append(text, at, begin - at);
        result += isParsable(value, remaining) ? value : "null";
        at = end;
    }
    return result;
}

} // namespace lagoon::framework
