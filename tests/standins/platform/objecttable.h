#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::standins {

enum class WriteOutcome : std::uint8_t { Applied, NotFound, WrongVersion };

/// The objects of the platform's store with their versions. Writes are conditional on the expected version; version 0
/// means that the object doesn't exist.
class ObjectTable {
public:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };

    std::optional<Object> get(const std::string& key) const;
    /// Returns the keys with this prefix and their versions, in the order of the keys.
    std::vector<std::pair<std::string, std::uint64_t>> list(const std::string& prefix) const;

    WriteOutcome put(const std::string& key, const std::string& value, std::uint64_t expected);
    WriteOutcome remove(const std::string& key, std::uint64_t expected);

private:
    struct Entry {
        std::optional<std::string> value;
        /// Kept when the object is deleted, so that versions are never reused.
        std::uint64_t version = 0;
    };
    std::map<std::string, Entry> entries_;
};

} // namespace lagoon::standins
