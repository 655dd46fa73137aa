/// \file
/// \brief The hash that maps keys to shards and names to places. Source: xxHash (XXH3).

#pragma once

#include <cstdint>
#include <string_view>

namespace damaskward {

/// \returns the 64-bit hash of \a text. The same on every VM and in every version.
std::uint64_t keyHash(std::string_view text);

/// \returns a hash that depends on both arguments, for rendezvous hashing.
std::uint64_t combineHash(std::uint64_t a, std::uint64_t b);

/// \returns the shard that holds \a key of a service with \a shardCount shards (at least 1).
inline std::uint32_t shardOfKey(std::string_view key, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(keyHash(key) % shardCount);
}

} // namespace damaskward
