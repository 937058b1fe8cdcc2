#pragma once

#include "framework/types/error.h"

#include <cpprest/json.h>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

/// Reading of JSON that people wrote: settings, bundles, the platform's objects. Each fault names the source, the key
/// and what was expected there. Include in .cpp files only: cpprest is slow to compile.
namespace lagoon::framework {

/// Limits that hold before a text is parsed.
struct JsonLimits {
    std::size_t bytes = 1024 * 1024;
    std::size_t depth = 32;
};

/// Parses a text after checking its size and depth. `source` is a file or key, for the error.
Result<web::json::value> parseJson(const std::string& text, const std::string& source, ErrorCode code, JsonLimits = {});

/// One JSON object of which each key is read with its type and range, then `finish`ed: the first fault found is kept
/// and returned there, and so is a key that nobody read.
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
    /// One of `choices`; the fallback is used where the key is absent.
    std::string choiceOr(const std::string& key, std::string fallback, const std::vector<std::string>& choices);
    bool has(const std::string& key) const;
    /// The object under `key`; a missing or different thing is a fault and gives an empty object.
    CheckedObject object(const std::string& key);
    /// The objects of the array under `key`; a missing array is empty.
    std::vector<CheckedObject> objects(const std::string& key);
    std::vector<std::string> texts(const std::string& key);
    /// Names and objects of a JSON object used as a map.
    std::vector<std::pair<std::string, CheckedObject>> entries();
    /// Names and numbers of a JSON object used as a map.
    std::vector<std::pair<std::string, std::uint64_t>> numberEntries(std::uint64_t minValue, std::uint64_t maxValue);

    /// Records a fault of the caller's own checks, such as two keys that don't go together.
    void fail(const std::string& key, const std::string& expected);
    /// The first fault here or in a part. For objects that may have keys that aren't known here.
    Result<void> check() const;
    /// The same, or a key that wasn't read. Parts share their whole's fault.
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
