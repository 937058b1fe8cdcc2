#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace lagoon::standins {

enum class WriteOutcome : std::uint8_t { Applied, NotFound, WrongVersion };

/// The platform's objects with their versions. Version 0 is "does not exist".
class ObjectTable {
public:
    struct Object {
        std::string value;
        std::uint64_t version = 0;
    };

    std::optional<Object> get(const std::string& key) const;
    std::vector<std::pair<std::string, std::uint64_t>> list(const std::string& prefix) const;

    WriteOutcome put(const std::string& key, const std::string& value, std::uint64_t expected);
    WriteOutcome remove(const std::string& key, std::uint64_t expected);

private:
    struct Entry {
        std::optional<std::string> value;
        /// Kept across a deletion, so that versions never repeat.
        std::uint64_t version = 0;
    };
    std::map<std::string, Entry> entries_;
};

} // namespace lagoon::standins
