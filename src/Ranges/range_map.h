/// \file
/// \brief Which target owns which keys of a service.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// A key of a keyed service, in which every key is owned by one target.
using shard_key = std::uint16_t;

inline constexpr int keyCount = 65536;

/// A range of adjacent keys, both ends included.
struct key_range
{
    shard_key first = 0;
    shard_key last = 0;

    int size() const { return last - first + 1; }
    bool contains(shard_key key) const { return first <= key && key <= last; }
    friend bool operator==(key_range a, key_range b)
    {
        return a.first == b.first && a.last == b.last;
    }
};

/// The owner of a range of keys.
struct range_owner
{
    key_range keys;
    std::string target; ///< empty while the owner changes
    std::int64_t incarnation = 0; ///< of the target; other incarnations of it own nothing
    std::uint64_t fencingToken = 0; ///< increases with every change of the owner
    std::string handover; ///< token from the previous owner, if it released the keys
    milliseconds wait{0}; ///< without a target: estimated time until the keys have an owner

    friend bool operator==(const range_owner &a, const range_owner &b)
    {
        return a.keys == b.keys && a.target == b.target && a.incarnation == b.incarnation
            && a.fencingToken == b.fencingToken;
    }
};

/// \class range_map
/// \brief The owners of all keys of one service, in the order of the keys.
///
/// \code
/// if (const range_owner *owner = map.find(key))
///     send(owner->target);
/// \endcode
class range_map
{
public:
    std::vector<range_owner> owners; ///< sorted by key, without overlaps

    /// \returns the owner of \a key, or null if it was never assigned.
    const range_owner *find(shard_key key) const
    {
        const auto it =
            std::upper_bound(owners.begin(), owners.end(), key,
                             [](shard_key k, const range_owner &o) { return k < o.keys.first; });
        if (it == owners.begin() || !std::prev(it)->keys.contains(key)) {
            return nullptr;
        }
        return &*std::prev(it);
    }
};

} // namespace damaskward
