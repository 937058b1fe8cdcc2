#include "fleet/streamevents.h"

#include <sstream>

namespace lagoon::fleet {

namespace {

constexpr std::string_view eventEnd = "\n\n";

} // namespace

std::string eventText(int id, const std::string& version)
{
    const std::string number = std::to_string(id);
    return "id: " + number + "\ndata: word" + number + ' ' + version + std::string(eventEnd);
}

std::vector<StreamEvent> parseEvents(std::string_view body)
{
    std::vector<StreamEvent> events;
    for (std::size_t begin = 0; begin < body.size();) {
        const std::size_t end = body.find(eventEnd, begin);
        if (end == std::string_view::npos)
            break;
        std::istringstream words { std::string(body.substr(begin, end - begin)) };
        std::string name;
        std::string text;
        StreamEvent event;
        words >> name >> event.id >> name >> text >> event.version;
        events.push_back(std::move(event));
        begin = end + eventEnd.size();
    }
    return events;
}

void ReceivedStream::add(const std::vector<StreamEvent>& events)
{
    events_.insert(events_.end(), events.begin(), events.end());
}

std::set<std::string> ReceivedStream::versions() const
{
    std::set<std::string> versions;
    for (const StreamEvent& event : events_)
        versions.insert(event.version);
    return versions;
}

bool ReceivedStream::isInOrder() const
{
    std::uint64_t expected = 1;
    for (const StreamEvent& event : events_) {
        if (event.id != expected++)
            return false;
    }
    return true;
}

} // namespace lagoon::fleet
