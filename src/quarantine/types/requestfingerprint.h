#pragma once

#include <algorithm>
#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::quarantine {

/// Identifies a request by its content, or a part of its prompt, so that either can be recognized on any router.
class RequestFingerprint {
public:
    static constexpr std::size_t size = 16;
    using Bytes = std::array<std::uint8_t, size>;

    RequestFingerprint() = default;
    explicit RequestFingerprint(const Bytes& bytes)
        : bytes_(bytes)
    {
    }
    /// Parses the text form; std::nullopt if it is none.
    static std::optional<RequestFingerprint> parse(std::string_view);

    /// Returns the fingerprint of a part of a prompt with this digest.
    static RequestFingerprint ofPart(Bytes digest)
    {
        std::copy(partMark.begin(), partMark.end(), digest.end() - partMark.size());
        return RequestFingerprint(digest);
    }

    /// Whether it identifies a part of prompts; hardly any request has a digest that looks like one.
    bool isPart() const { return std::equal(partMark.begin(), partMark.end(), bytes_.end() - partMark.size()); }
    const Bytes& bytes() const { return bytes_; }
    /// 32 lowercase hexadecimal digits.
    std::string text() const;

    friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) = default;

private:
    static constexpr std::array<std::uint8_t, 2> partMark { 0x9a, 0x37 };

    Bytes bytes_ {};
};

} // namespace lagoon::quarantine
