#include "framework/checkedjson.h"

#include <algorithm>
#include <array>
#include <memory>
#include <string_view>
#include <utility>

namespace lagoon::framework {

namespace {

/// An element of an array: its value with what the array reserves when it grows.
constexpr std::size_t elementMemory = 96;
/// A member of an object, which has a name as well.
constexpr std::size_t memberMemory = 160;

bool isSpace(char character) { return character == ' ' || character == '\t' || character == '\n' || character == '\r'; }

/// What a text's brackets and commas tell about its values, whether or not the text can be parsed.
struct JsonShape {
    std::size_t depth = 0;
    std::size_t elements = 0;
    std::size_t members = 0;
};

/// Reads the text without recursion: cpprest's parser recurses with the depth, so its depth has to be known before.
class ShapeReader {
public:
    JsonShape read(std::string_view text)
    {
        for (std::size_t at = 0; at < text.size(); ++at) {
            const char character = text[at];
            if (isInString_) {
                if (character == '\\')
                    ++at;
                else if (character == '"')
                    isInString_ = false;
                continue;
            }
            if (!isSpace(character))
                readOutsideStrings(character);
        }
        return shape_;
    }

private:
    void readOutsideStrings(char character)
    {
        const bool isOpening = character == '{' || character == '[';
        const bool isClosing = character == '}' || character == ']';
        if (std::exchange(beginsContainer_, isOpening) && !isClosing)
            countValue();
        isInString_ = character == '"';
        if (character == ',')
            countValue();
        if (isOpening) {
            open_.push_back(character);
            shape_.depth = std::max(shape_.depth, open_.size());
        } else if (isClosing && !open_.empty()) {
            open_.pop_back();
        }
    }

    void countValue() { ++(!open_.empty() && open_.back() == '{' ? shape_.members : shape_.elements); }

    JsonShape shape_;
    std::string open_;
    bool isInString_ = false;
    /// Whether the last character has opened an array or object whose first value may follow.
    bool beginsContainer_ = false;
};

JsonShape shapeOf(std::string_view text) { return ShapeReader().read(text); }

std::size_t memoryOf(const JsonShape& shape, std::size_t textBytes)
{
    return 2 * textBytes + (shape.elements + 1) * elementMemory + shape.members * memberMemory;
}

/// The first bytes of one encoded character: how many follow, and the range of the first that follows (RFC 3629).
struct Utf8Lead {
    unsigned char from;
    unsigned char to;
    std::size_t following;
    unsigned char firstFrom;
    unsigned char firstTo;
};

constexpr std::array<Utf8Lead, 9> utf8Leads { { { 0x00, 0x7f, 0, 0, 0 }, { 0xc2, 0xdf, 1, 0x80, 0xbf },
    { 0xe0, 0xe0, 2, 0xa0, 0xbf }, { 0xe1, 0xec, 2, 0x80, 0xbf }, { 0xed, 0xed, 2, 0x80, 0x9f },
    { 0xee, 0xef, 2, 0x80, 0xbf }, { 0xf0, 0xf0, 3, 0x90, 0xbf }, { 0xf1, 0xf3, 3, 0x80, 0xbf },
    { 0xf4, 0xf4, 3, 0x80, 0x8f } } };

bool isUtf8(std::string_view text)
{
    const auto byteAt = [text](std::size_t at) { return static_cast<unsigned char>(text[at]); };
    for (std::size_t at = 0; at < text.size();) {
        const auto lead = std::find_if(utf8Leads.begin(), utf8Leads.end(),
            [byte = byteAt(at)](const Utf8Lead& one) { return byte >= one.from && byte <= one.to; });
        if (lead == utf8Leads.end() || text.size() - at <= lead->following)
            return false;
        for (std::size_t next = 1; next <= lead->following; ++next) {
            const unsigned char from = next == 1 ? lead->firstFrom : 0x80;
            const unsigned char to = next == 1 ? lead->firstTo : 0xbf;
            if (byteAt(at + next) < from || byteAt(at + next) > to)
                return false;
        }
        at += lead->following + 1;
    }
    return true;
}

} // namespace

struct CheckedObject::Fault {
    ErrorCode code = ErrorCode::Internal;
    std::optional<std::string> text;
};

std::size_t parsedMemory(std::string_view text) { return memoryOf(shapeOf(text), text.size()); }

Result<web::json::value> parseJson(
    const std::string& text, const std::string& source, ErrorCode code, JsonLimits limits)
{
    const auto fault = [&](std::string detail) { return Error { code, "read JSON", source, std::move(detail) }; };
    if (text.size() > limits.bytes)
        return fault("larger than " + std::to_string(limits.bytes) + " bytes");
    const JsonShape shape = shapeOf(text);
    if (shape.depth > limits.depth)
        return fault("nested deeper than " + std::to_string(limits.depth));
    if (memoryOf(shape, text.size()) > limits.memory)
        return fault("values that take more than " + std::to_string(limits.memory) + " bytes");
    // cpprest takes some other bytes for the end of the text on processors where `char` is signed, and keeps them
    // elsewhere.
    if (!isUtf8(text))
        return fault("not UTF-8");
    try {
        std::error_code parseError;
        web::json::value value = web::json::value::parse(text, parseError);
        if (parseError)
            return fault("not JSON: " + parseError.message());
        return value;
    } catch (const std::exception& thrown) {
        // cpprest reports most errors by the error code, but throws on half a surrogate pair.
        return fault(std::string("not JSON: ") + thrown.what());
    }
}

CheckedObject::CheckedObject(const web::json::value& object, std::string source, std::string path, ErrorCode code)
    : CheckedObject(object, std::move(source), std::move(path), std::make_shared<Fault>(Fault { code, std::nullopt }))
{
}

CheckedObject::CheckedObject(
    const web::json::value& object, std::string source, std::string path, std::shared_ptr<Fault> fault)
    : object_(object)
    , source_(std::move(source))
    , path_(std::move(path))
    , fault_(std::move(fault))
{
    if (!object_.is_object())
        fail("", "an object");
}

std::string CheckedObject::pathOf(const std::string& key) const
{
    if (path_.empty())
        return key;
    return key.empty() ? path_ : path_ + "." + key;
}

void CheckedObject::fail(const std::string& key, const std::string& expected)
{
    if (!fault_->text)
        fault_->text = "key \"" + pathOf(key) + "\": expected " + expected;
}

const web::json::value* CheckedObject::find(const std::string& key, bool isRequired)
{
    readKeys_.push_back(key);
    if (!has(key)) {
        if (isRequired)
            fail(key, "a value, there is none");
        return nullptr;
    }
    return &object_.as_object().at(key);
}

bool CheckedObject::has(const std::string& key) const { return object_.is_object() && object_.has_field(key); }

std::string CheckedObject::text(const std::string& key)
{
    const web::json::value* value = find(key, true);
    if (!value)
        return {};
    if (!value->is_string() || value->as_string().empty()) {
        fail(key, "a text that isn't empty");
        return {};
    }
    return value->as_string();
}

std::string CheckedObject::textOr(const std::string& key, std::string fallback)
{
    if (has(key))
        return text(key);
    return fallback;
}

std::uint64_t CheckedObject::number(const std::string& key, std::uint64_t minValue, std::uint64_t maxValue)
{
    const web::json::value* value = find(key, true);
    if (!value)
        return minValue;
    const std::string range = "a whole number from " + std::to_string(minValue) + " to " + std::to_string(maxValue);
    if (!value->is_number() || !value->as_number().is_uint64()) {
        fail(key, range);
        return minValue;
    }
    const std::uint64_t number = value->as_number().to_uint64();
    if (number < minValue || number > maxValue) {
        fail(key, range);
        return minValue;
    }
    return number;
}

std::uint64_t CheckedObject::numberOr(
    const std::string& key, std::uint64_t fallback, std::uint64_t minValue, std::uint64_t maxValue)
{
    return has(key) ? number(key, minValue, maxValue) : fallback;
}

double CheckedObject::doubleOr(const std::string& key, double fallback, double minValue, double maxValue)
{
    if (!has(key))
        return fallback;
    const web::json::value* value = find(key, true);
    if (!value->is_number() || value->as_double() < minValue || value->as_double() > maxValue) {
        fail(key, "a number from " + std::to_string(minValue) + " to " + std::to_string(maxValue));
        return fallback;
    }
    return value->as_double();
}

bool CheckedObject::flagOr(const std::string& key, bool fallback)
{
    const web::json::value* value = find(key, false);
    if (!value)
        return fallback;
    if (!value->is_boolean()) {
        fail(key, "true or false");
        return fallback;
    }
    return value->as_bool();
}

std::string CheckedObject::choiceOr(
    const std::string& key, std::string fallback, const std::vector<std::string>& choices)
{
    if (!has(key))
        return fallback;
    std::string choice = text(key);
    if (std::find(choices.begin(), choices.end(), choice) != choices.end())
        return choice;
    std::string expected = "one of";
    for (const std::string& allowed : choices)
        expected += " \"" + allowed + "\"";
    fail(key, expected);
    return fallback;
}

CheckedObject CheckedObject::object(const std::string& key)
{
    const web::json::value* value = find(key, true);
    return CheckedObject(value ? *value : web::json::value::object(), source_, pathOf(key), fault_);
}

std::vector<web::json::value> CheckedObject::elements(const std::string& key)
{
    const web::json::value* value = find(key, false);
    if (!value)
        return {};
    if (!value->is_array()) {
        fail(key, "an array");
        return {};
    }
    return { value->as_array().begin(), value->as_array().end() };
}

std::vector<CheckedObject> CheckedObject::objects(const std::string& key)
{
    std::vector<CheckedObject> parts;
    for (const web::json::value& part : elements(key))
        parts.push_back(CheckedObject(part, source_, pathOf(key) + "[" + std::to_string(parts.size()) + "]", fault_));
    return parts;
}

std::vector<std::string> CheckedObject::texts(const std::string& key)
{
    std::vector<std::string> texts;
    const web::json::value* value = find(key, false);
    if (!value)
        return texts;
    if (!value->is_array()) {
        fail(key, "an array");
        return texts;
    }
    for (const web::json::value& part : value->as_array()) {
        if (!part.is_string()) {
            fail(key, "an array of texts");
            continue;
        }
        texts.push_back(part.as_string());
    }
    return texts;
}

std::vector<std::pair<std::string, CheckedObject>> CheckedObject::entries()
{
    std::vector<std::pair<std::string, CheckedObject>> parts;
    if (!object_.is_object())
        return parts;
    for (const auto& [name, value] : object_.as_object()) {
        readKeys_.push_back(name);
        parts.emplace_back(name, CheckedObject(value, source_, pathOf(name), fault_));
    }
    return parts;
}

std::vector<std::pair<std::string, std::uint64_t>> CheckedObject::numberEntries(
    std::uint64_t minValue, std::uint64_t maxValue)
{
    std::vector<std::pair<std::string, std::uint64_t>> numbers;
    if (!object_.is_object())
        return numbers;
    for (const auto& [name, value] : object_.as_object())
        numbers.emplace_back(name, number(name, minValue, maxValue));
    return numbers;
}

Result<void> CheckedObject::check() const
{
    if (fault_->text)
        return Error { fault_->code, "check JSON", source_, *fault_->text };
    return success();
}

Result<void> CheckedObject::finish()
{
    if (!fault_->text && object_.is_object()) {
        for (const auto& [name, value] : object_.as_object()) {
            if (std::find(readKeys_.begin(), readKeys_.end(), name) != readKeys_.end())
                continue;
            fault_->text = "key \"" + pathOf(name) + "\": unknown key";
            break;
        }
    }
    return check();
}

} // namespace lagoon::framework
