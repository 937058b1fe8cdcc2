#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// HTTP/1.1 messages of the streaming server and client.
namespace lagoon::http {

struct HeaderField {
    std::string name;
    std::string value;
};

/// Header fields in the order in which they were received or added. Names are case-insensitive.
class Headers {
public:
    void add(std::string name, std::string value);
    /// Replaces all fields of this name with one.
    void set(std::string name, std::string value);
    void remove(std::string_view name);
    /// Returns the value of the first field of this name, or std::nullopt if there is none.
    std::optional<std::string_view> find(std::string_view name) const;
    std::size_t count(std::string_view name) const;
    /// Returns whether a field of this name contains the token in its comma-separated list.
    bool hasToken(std::string_view name, std::string_view token) const;
    const std::vector<HeaderField>& fields() const { return fields_; }

private:
    std::vector<HeaderField> fields_;
};

/// Compares two texts, ignoring the case of ASCII letters.
bool equalsIgnoringCase(std::string_view left, std::string_view right);

struct Request {
    std::string method;
    /// Path and query as received.
    std::string target;
    Headers headers;
    std::string body;
    /// Whether the sender understands chunked bodies.
    bool isVersion11 = true;
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

/// Returns whether a field of this name concerns a single connection (RFC 9110, 7.6.1) or the framing of a message.
bool isConnectionField(std::string_view name);

/// Removes the fields that concern a single connection, those that `Connection` lists, and the framing fields, which
/// the sender of the forwarded message sets again.
void removeConnectionFields(Headers&);

/// Returns the standard reason phrase of a status, or "Status" for unknown ones.
std::string_view reasonText(unsigned status);

} // namespace lagoon::http
