#include "http/types/message.h"

#include <algorithm>
#include <array>
#include <ostream>
// Must come after <ostream>, which Boost 1.74 does not include itself.
#include <boost/beast/http/status.hpp>
#include <utility>

namespace lagoon::http {

namespace {

char toLower(char character)
{
    return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a') : character;
}

std::string_view trimmed(std::string_view text)
{
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t'))
        text.remove_prefix(1);
    while (!text.empty() && (text.back() == ' ' || text.back() == '\t'))
        text.remove_suffix(1);
    return text;
}

std::vector<std::string> listTokens(std::string_view list)
{
    std::vector<std::string> tokens;
    while (!list.empty()) {
        const std::size_t comma = std::min(list.find(','), list.size());
        tokens.emplace_back(trimmed(list.substr(0, comma)));
        list.remove_prefix(std::min(comma + 1, list.size()));
    }
    return tokens;
}

constexpr std::array<std::string_view, 10> connectionFields { "Connection", "Keep-Alive", "Proxy-Connection",
    "Proxy-Authenticate", "Proxy-Authorization", "TE", "Trailer", "Transfer-Encoding", "Upgrade", "Content-Length" };

} // namespace

bool equalsIgnoringCase(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](char one, char other) { return toLower(one) == toLower(other); });
}

void Headers::add(std::string name, std::string value) { fields_.push_back({ std::move(name), std::move(value) }); }

void Headers::set(std::string name, std::string value)
{
    remove(name);
    add(std::move(name), std::move(value));
}

void Headers::remove(std::string_view name)
{
    std::erase_if(fields_, [name](const HeaderField& field) { return equalsIgnoringCase(field.name, name); });
}

std::optional<std::string_view> Headers::find(std::string_view name) const
{
    for (const HeaderField& field : fields_) {
        if (equalsIgnoringCase(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

std::size_t Headers::count(std::string_view name) const
{
    return static_cast<std::size_t>(std::count_if(fields_.begin(), fields_.end(),
        [name](const HeaderField& field) { return equalsIgnoringCase(field.name, name); }));
}

bool Headers::hasToken(std::string_view name, std::string_view token) const
{
    for (const HeaderField& field : fields_) {
        if (!equalsIgnoringCase(field.name, name))
            continue;
        for (const std::string& listed : listTokens(field.value)) {
            if (equalsIgnoringCase(listed, token))
                return true;
        }
    }
    return false;
}

bool isConnectionField(std::string_view name)
{
    return std::any_of(connectionFields.begin(), connectionFields.end(),
        [name](std::string_view listed) { return equalsIgnoringCase(listed, name); });
}

void removeConnectionFields(Headers& headers)
{
    std::vector<std::string> named;
    for (const HeaderField& field : headers.fields()) {
        if (!equalsIgnoringCase(field.name, "Connection"))
            continue;
        for (std::string& token : listTokens(field.value))
            named.push_back(std::move(token));
    }
    for (const std::string& name : named)
        headers.remove(name);
    for (const std::string_view name : connectionFields)
        headers.remove(name);
}

std::string_view reasonText(unsigned status)
{
    const auto text = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(status));
    return text.starts_with("<") ? std::string_view("Status") : std::string_view(text.data(), text.size());
}

} // namespace lagoon::http
