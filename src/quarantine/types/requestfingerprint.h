#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lagoon::quarantine {

/// Identifies a request by its content, so that copies of it can be recognized on any router.
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

    const Bytes& bytes() const { return bytes_; }
    /// 32 lowercase hexadecimal digits.
    std::string text() const;

    friend auto operator<=>(const RequestFingerprint&, const RequestFingerprint&) = default;

private:
    Bytes bytes_ {};
};

} // namespace lagoon::quarantine
