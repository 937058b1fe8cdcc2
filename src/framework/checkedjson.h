#pragma once

#include "framework/types/error.h"

#include <cpprest/json.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

/// Strict reading of settings, bundles and the platform's objects in JSON. Each error names the source, the key and the
/// expected value. Include in .cpp files only, as cpprest is slow to compile.
namespace lagoon::framework {

/// Limits that are checked before a text is parsed.
struct JsonLimits {
    std::size_t bytes = 1024 * 1024;
    std::size_t depth = 32;
    /// Of the parsed values, which may take dozens of times as many bytes as their text.
    std::size_t memory = std::size_t(64) * 1024 * 1024;
};

/// Returns at least the memory that the parsed values of a text take while they are parsed.
std::size_t parsedMemory(std::string_view text);

/// Parses a text after checking its size, its depth and the memory of its values. `source` names the file or key in
/// errors.
Result<web::json::value> parseJson(const std::string& text, const std::string& source, ErrorCode code, JsonLimits = {});

/// Reads the keys of one JSON object and checks their types and ranges. The first error is kept; `finish` returns it,
/// or an error if the object has a key that wasn't read.
class CheckedObject {
public:
    CheckedObject(const web::json::value& object, std::string source, std::string path, ErrorCode code);

    std::string text(const std::string& key);
    std::string textOr(const std::string& key, std::string fallback);
    std::uint64_t number(const std::string& key, std::uint64_t minValue, std::uint64_t maxValue);
    std::uint64_t numberOr(
        const std::string& key, std::uint64_t fallback, std::uint64_t minValue, std::uint64_t maxValue);
    double doubleOr(const std::string& key, double fallback, double minValue, double maxValue);
    bool flagOr(const std::string& key, bool fallback);
    /// Reads a string that has to be one of `choices`; returns the fallback if the key is absent.
    std::string choiceOr(const std::string& key, std::string fallback, const std::vector<std::string>& choices);
    bool has(const std::string& key) const;
    /// Reads the object under `key`. If there is none, this is an error and an empty object is returned.
    CheckedObject object(const std::string& key);
    /// Reads the objects of the array under `key`; empty if the key is absent.
    std::vector<CheckedObject> objects(const std::string& key);
    /// Returns the elements of an array, which aren't checked; none if the key is absent.
    std::vector<web::json::value> elements(const std::string& key);
    /// Reads the strings of the array under `key`; empty if the key is absent.
    std::vector<std::string> texts(const std::string& key);
    /// Reads the names and objects of a JSON object that is used as a map.
    std::vector<std::pair<std::string, CheckedObject>> entries();
    /// Reads the names and numbers of a JSON object that is used as a map.
    std::vector<std::pair<std::string, std::uint64_t>> numberEntries(std::uint64_t minValue, std::uint64_t maxValue);

    /// Records an error that the caller's own checks found, such as two keys that exclude each other.
    void fail(const std::string& key, const std::string& expected);
    /// Returns the first error in this object or in a nested one. For objects that may have unknown keys.
    Result<void> check() const;
    /// Like `check`, but also returns an error if a key of this object wasn't read. Nested objects share the error of
    /// the object that contains them.
    Result<void> finish();

private:
    struct Fault;
    CheckedObject(const web::json::value& object, std::string source, std::string path, std::shared_ptr<Fault> fault);
    const web::json::value* find(const std::string& key, bool isRequired);
    std::string pathOf(const std::string& key) const;

    web::json::value object_;
    std::string source_;
    std::string path_;
    std::shared_ptr<Fault> fault_;
    std::vector<std::string> readKeys_;
};

} // namespace lagoon::framework
