#include "standins/platform/objecttable.h"

namespace lagoon::standins {

std::optional<ObjectTable::Object> ObjectTable::get(const std::string& key) const
{
    const auto found = entries_.find(key);
    if (found == entries_.end() || !found->second.value)
        return std::nullopt;
    return Object { *found->second.value, found->second.version };
}

std::vector<std::pair<std::string, std::uint64_t>> ObjectTable::list(const std::string& prefix) const
{
    std::vector<std::pair<std::string, std::uint64_t>> keys;
    for (auto entry = entries_.lower_bound(prefix); entry != entries_.end(); ++entry) {
        if (entry->first.compare(0, prefix.size(), prefix) != 0)
            break;
        if (entry->second.value)
            keys.emplace_back(entry->first, entry->second.version);
    }
    return keys;
}

WriteOutcome ObjectTable::put(const std::string& key, const std::string& value, std::uint64_t expected)
{
    const auto present = get(key);
    if ((present ? present->version : 0) != expected)
        return WriteOutcome::WrongVersion;
    Entry& entry = entries_[key];
    entry.value = value;
    ++entry.version;
    return WriteOutcome::Applied;
}

WriteOutcome ObjectTable::remove(const std::string& key, std::uint64_t expected)
{
    const auto present = get(key);
    if (!present)
        return WriteOutcome::NotFound;
    if (present->version != expected)
        return WriteOutcome::WrongVersion;
    Entry& entry = entries_[key];
    entry.value.reset();
    ++entry.version;
    return WriteOutcome::Applied;
}

} // namespace lagoon::standins
