#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages as the streaming server and client pass them.
namespace lagoon::http {

struct HeaderField {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they came. Names compare without regard to case.
class Headers {
public:
    void add(std::string name, std::string value);
    /// Replaces all fields of that name by one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// The first field's value.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Whether a comma-separated list under `name` holds the token.
    bool hasToken(std::string_view name, std::string_view token) const;
    const std::vector<HeaderField>& fields() const { return fields_; }

private:
    std::vector<HeaderField> fields_;
};

/// Whether two texts are equal but for the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct Request {
    std::string method;
    /// Path and query as they came.
    std::string target;
    Headers headers;
    std::string body;
};

struct ResponseHead {
    unsigned status = 0;
    std::string reason;
    Headers headers;
};

struct Response {
    ResponseHead head;
    std::string body;
};

/// Whether a field of this name concerns one connection only (RFC 9110, 7.6.1), or frames the message on it.
bool isConnectionField(std::string_view name);

/// Removes what concerns one connection only, the fields that `Connection` names, and the framing,
/// which whoever sends the message on sets anew.
void removeConnectionFields(Headers&);

/// The customary words for a status; "Status" for unknown ones.
std::string_view reasonText(unsigned status);

} // namespace lagoon::http
