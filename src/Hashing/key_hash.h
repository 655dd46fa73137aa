/// \file
/// \brief The hash functions for sharding and rendezvous hashing, based on xxHash (XXH3).

#pragma once

#include <cstdint>
#include <string_view>

namespace damaskward {

/// \returns the 64-bit hash of \a text. It is the same on all VMs and in all versions.
std::uint64_t keyHash(std::string_view text);

/// \returns a hash that depends on both arguments, for rendezvous hashing.
std::uint64_t combineHash(std::uint64_t a, std::uint64_t b);

/// \returns the shard of \a key in a service with \a shardCount shards (at least 1).
inline std::uint32_t shardOfKey(std::string_view key, std::uint32_t shardCount)
{
    return static_cast<std::uint32_t>(keyHash(key) % shardCount);
}

} // namespace damaskward
