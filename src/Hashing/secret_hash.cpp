#include "secret_hash.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace damaskward {

namespace internal {

int hexDigit(char c)
{
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return -1;
}

} // namespace internal

secret_hash hashSecret(std::string_view secret)
{
    secret_hash digest{};
    SHA256(reinterpret_cast<const unsigned char *>(secret.data()), secret.size(), digest.data());
    return digest;
}

bool equalInConstantTime(const secret_hash &a, const secret_hash &b)
{
    return CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

bool equalSecrets(std::string_view a, std::string_view b)
{
    return equalInConstantTime(hashSecret(a), hashSecret(b));
}

std::string toHex(const secret_hash &hash)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    text.reserve(hash.size() * 2);
    for (const std::uint8_t byte : hash) {
        text.push_back(digits[byte >> 4U]);
        text.push_back(digits[byte & 0xFU]);
    }
    return text;
}

std::optional<secret_hash> parseHex(std::string_view text)
{
    secret_hash hash{};
    if (text.size() != hash.size() * 2) {
        return std::nullopt;
    }
    for (std::size_t i = 0; i < hash.size(); ++i) {
        const int high = internal::hexDigit(text[2 * i]);
        const int low = internal::hexDigit(text[2 * i + 1]);
        if (high < 0 || low < 0) {
            return std::nullopt;
        }
        hash[i] = static_cast<std::uint8_t>(high * 16 + low);
    }
    return hash;
}

} // namespace damaskward
