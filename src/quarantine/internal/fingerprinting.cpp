#include "quarantine/fingerprinting.h"

#include <algorithm>
#include <array>
#include <cctype>
#include <initializer_list>
#include <memory>
#include <openssl/evp.h>

namespace lagoon::quarantine {

namespace {

constexpr std::string_view hexDigits = "0123456789abcdef";

using DigestContext = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

/// Hashes the length first, so that bytes can't move from one field to the next without changing the digest.
void addField(EVP_MD_CTX* context, std::string_view field)
{
    std::array<unsigned char, sizeof(std::uint64_t)> length {};
    std::uint64_t rest = field.size();
    for (unsigned char& byte : length) {
        byte = static_cast<unsigned char>(rest & 0xff);
        rest >>= 8;
    }
    EVP_DigestUpdate(context, length.data(), length.size());
    EVP_DigestUpdate(context, field.data(), field.size());
}

/// Differs from the methods of requests, so that no request has the fingerprint of a part.
constexpr std::string_view partDomain = "prompt part";

RequestFingerprint digestOf(std::initializer_list<std::string_view> fields)
{
    const DigestContext context(EVP_MD_CTX_new(), &EVP_MD_CTX_free);
    EVP_DigestInit_ex(context.get(), EVP_sha256(), nullptr);
    for (const std::string_view field : fields)
        addField(context.get(), field);
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_DigestFinal_ex(context.get(), digest.data(), &size);
    RequestFingerprint::Bytes bytes {};
    std::copy_n(digest.begin(), bytes.size(), bytes.begin());
    return RequestFingerprint(bytes);
}

} // namespace

std::optional<RequestFingerprint> RequestFingerprint::parse(std::string_view text)
{
    if (text.size() != 2 * size)
        return std::nullopt;
    Bytes bytes {};
    for (std::size_t index = 0; index < size; ++index) {
        const std::size_t high = hexDigits.find(text[2 * index]);
        const std::size_t low = hexDigits.find(text[2 * index + 1]);
        if (high == std::string_view::npos || low == std::string_view::npos)
            return std::nullopt;
        bytes[index] = static_cast<std::uint8_t>(high << 4 | low);
    }
    return RequestFingerprint(bytes);
}

std::string RequestFingerprint::text() const
{
    std::string text;
    text.reserve(2 * size);
    for (const std::uint8_t byte : bytes_) {
        text += hexDigits[byte >> 4];
        text += hexDigits[byte & 0xf];
    }
    return text;
}

RequestFingerprint fingerprintOf(const RequestContent& content)
{
    return digestOf({ content.method, content.target, content.caller, content.body });
}

RequestFingerprint partFingerprintOf(std::string_view id)
{
    std::string lowered(id);
    std::transform(lowered.begin(), lowered.end(), lowered.begin(),
        [](unsigned char character) { return static_cast<char>(std::tolower(character)); });
    return RequestFingerprint::ofPart(digestOf({ partDomain, lowered }).bytes());
}

} // namespace lagoon::quarantine
