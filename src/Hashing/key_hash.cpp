#include "key_hash.h"

#include <xxhash.h>

#include <array>

namespace damaskward {

std::uint64_t keyHash(std::string_view text)
{
    return XXH3_64bits(text.data(), text.size());
}

std::uint64_t combineHash(std::uint64_t a, std::uint64_t b)
{
    const std::array<std::uint64_t, 2> both = {a, b};
    return XXH3_64bits(both.data(), sizeof(both));
}

} // namespace damaskward
