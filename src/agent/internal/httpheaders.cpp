#include "agent/internal/httpheaders.h"

#include <boost/algorithm/string/case_conv.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <set>

namespace lagoon::agent {

namespace {

const std::set<std::string> connectionHeaders { "connection", "content-length", "expect", "host", "keep-alive",
    "proxy-authenticate", "proxy-authorization", "proxy-connection", "te", "trailer", "transfer-encoding", "upgrade" };

/// Names that a Connection header declares to belong to its connection.
std::set<std::string> namedInConnection(const HttpHeaders& headers)
{
    std::set<std::string> names;
    for (const auto& [name, value] : headers) {
        if (boost::algorithm::to_lower_copy(name) != "connection")
            continue;
        std::vector<std::string> words;
        boost::algorithm::split(words, value, [](char character) { return character == ','; });
        for (const std::string& word : words)
            names.insert(boost::algorithm::to_lower_copy(boost::algorithm::trim_copy(word)));
    }
    return names;
}

} // namespace

HttpHeaders endToEndHeaders(const HttpHeaders& headers)
{
    const std::set<std::string> named = namedInConnection(headers);
    HttpHeaders kept;
    for (const auto& header : headers) {
        const std::string name = boost::algorithm::to_lower_copy(header.first);
        if (connectionHeaders.count(name) > 0 || named.count(name) > 0)
            continue;
        kept.push_back(header);
    }
    return kept;
}

} // namespace lagoon::agent
