#include "bundle/internal/digest.h"

#include <array>
#include <openssl/evp.h>

namespace lagoon::bundle {

std::string sha256(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest {};
    unsigned size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (unsigned at = 0; at < size; ++at) {
        text += digits[digest[at] >> 4U];
        text += digits[digest[at] & 15U];
    }
    return text;
}

} // namespace lagoon::bundle
