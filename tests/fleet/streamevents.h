#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace lagoon::fleet {

/// One event of an engine stand-in's stream.
struct StreamEvent {
    std::uint64_t id = 0;
    /// The version of the software that wrote it.
    std::string version;
};

/// The event as an engine stand-in of this version writes it.
std::string eventText(int id, const std::string& version);

/// Parses the whole events in the body of an answer.
std::vector<StreamEvent> parseEvents(std::string_view body);

/// What a caller has received of one stream, over all its tries.
class ReceivedStream {
public:
    void add(const std::vector<StreamEvent>&);

    /// The id of the last event; 0 if there is none.
    std::uint64_t lastId() const { return events_.empty() ? 0 : events_.back().id; }
    /// The versions of the events. A correct stream has at most one.
    std::set<std::string> versions() const;
    /// Whether the ids are consecutive, from 1.
    bool isInOrder() const;

private:
    std::vector<StreamEvent> events_;
};

} // namespace lagoon::fleet
