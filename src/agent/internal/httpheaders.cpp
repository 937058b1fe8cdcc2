#include "agent/internal/httpheaders.h"

#include "http/types/message.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <set>

namespace lagoon::agent {

namespace {

/// Headers that each hop answers (`Expect`) or sets (`Host`) itself.
const std::set<std::string> hopHeaders { "expect", "host" };

/// Names of headers that a Connection header declares to belong to its connection only.
std::set<std::string> connectionOptions(const HttpHeaders& headers)
{
    std::set<std::string> names;
    for (const auto& [name, value] : headers) {
        if (boost::algorithm::to_lower_copy(name) != "connection")
            continue;
        std::vector<std::string> tokens;
        boost::algorithm::split(tokens, value, [](char character) { return character == ','; });
        for (const std::string& token : tokens)
            names.insert(boost::algorithm::to_lower_copy(boost::algorithm::trim_copy(token)));
    }
    return names;
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
    const std::set<std::string> named = connectionOptions(headers);
    HttpHeaders kept;
    for (const auto& header : headers) {
        const std::string name = boost::algorithm::to_lower_copy(header.first);
        if (http::isConnectionField(name) || hopHeaders.count(name) > 0 || named.count(name) > 0)
            continue;
        kept.push_back(header);
    }
    return kept;
}

} // namespace lagoon::agent
