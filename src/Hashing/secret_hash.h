/// \file
/// \brief Hashing and comparison of secrets, based on OpenSSL (SHA-256, CRYPTO_memcmp).

#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace damaskward {

/// A SHA-256 digest. Rules contain only digests of API keys; the keys are not stored.
using secret_hash = std::array<std::uint8_t, 32>;

/// \returns the SHA-256 digest of \a secret.
secret_hash hashSecret(std::string_view secret);

/// Compares two digests in a time that does not depend on where they differ.
bool equalInConstantTime(const secret_hash &a, const secret_hash &b);

/// \returns whether two secrets are equal, compared by their digests in constant time.
bool equalSecrets(std::string_view a, std::string_view b);

/// \returns \a hash as 64 lower-case hexadecimal digits.
std::string toHex(const secret_hash &hash);

/// \returns the digest written as 64 lower-case hexadecimal digits, or nothing for any other text.
std::optional<secret_hash> parseHex(std::string_view text);

} // namespace damaskward
