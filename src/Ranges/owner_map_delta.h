/// \file
/// \brief The owners of all keys, as the coordinator publishes them, and the changes between two
/// versions of them.

#pragma once

#include "../Core/ids.h"
#include "range_map.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace damaskward {

/// The owners of all keys, as the coordinator publishes them. Omits incarnations and fencing
/// tokens, which only the coordinator needs.
struct owner_update
{
    std::uint64_t version = 0; ///< increases, also from one coordinator to the next
    std::map<service_id, range_map> rangeMaps;
};

/// The changes from one version of the owners to a later one.
struct owner_delta
{
    std::uint64_t base = 0; ///< the changes apply to this version only
    std::uint64_t version = 0; ///< after the changes
    /// By service the ranges with another owner. All other keys keep theirs.
    std::map<service_id, range_map> changed;
};

/// A part of the owners of all keys, for owners that exceed one message.
struct owner_part
{
    std::uint64_t version = 0; ///< of the owners
    std::uint32_t index = 0; ///< of the part
    std::uint32_t count = 0; ///< of the parts
    std::map<service_id, range_map> rangeMaps; ///< the owners of some keys
};

/// Ranges in one message. A range takes up to 50 B, and a message has at most 60 KB.
inline constexpr std::size_t maxRangesPerMessage = 1200;

/// A wait is only an estimate, so a smaller difference is no change.
inline constexpr milliseconds minWaitChange{500};

namespace owner_map_detail {

/// What a map says about the keys from one key to the next end of a range.
struct key_span
{
    const range_owner *owner = nullptr; ///< null in a gap of the map
    int end = keyCount; ///< one past the last key
};

/// \param index of the first range that may contain \a key; advanced past ranges that end before it
inline key_span spanAt(const range_map &map, std::size_t &index, int key)
{
    while (index < map.owners.size() && map.owners[index].keys.last < key) {
        ++index;
    }
    if (index == map.owners.size()) {
        return {};
    }
    const range_owner &owner = map.owners[index];
    return owner.keys.first > key ? key_span{nullptr, owner.keys.first}
                                  : key_span{&owner, owner.keys.last + 1};
}

/// \returns whether routing differs between two owners. A gap is the same as no target and no wait.
inline bool differs(const range_owner *a, const range_owner *b)
{
    static const range_owner none;
    const range_owner &x = a ? *a : none;
    const range_owner &y = b ? *b : none;
    const milliseconds change = x.wait > y.wait ? x.wait - y.wait : y.wait - x.wait;
    return x.target != y.target || change >= minWaitChange
        || (x.wait.count() == 0) != (y.wait.count() == 0);
}

/// Appends the keys from \a first to before \a end, merged with the last range if possible.
inline void append(range_map &map, int first, int end, const range_owner *owner)
{
    range_owner added;
    added.keys = {static_cast<shard_key>(first), static_cast<shard_key>(end - 1)};
    if (owner) {
        added.target = owner->target;
        added.wait = owner->wait;
    }
    if (!map.owners.empty()) {
        range_owner &previous = map.owners.back();
        if (previous.keys.last + 1 == first && previous.target == added.target
            && previous.wait == added.wait) {
            previous.keys.last = added.keys.last;
            return;
        }
    }
    map.owners.push_back(std::move(added));
}

} // namespace owner_map_detail

/// \returns the ranges whose owner in \a to differs from that in \a from.
inline range_map changedRanges(const range_map &from, const range_map &to)
{
    using namespace owner_map_detail;
    range_map changed;
    std::size_t fromIndex = 0;
    std::size_t toIndex = 0;
    for (int key = 0; key < keyCount;) {
        const key_span before = spanAt(from, fromIndex, key);
        const key_span after = spanAt(to, toIndex, key);
        const int end = std::min(before.end, after.end);
        if (differs(before.owner, after.owner)) {
            append(changed, key, end, after.owner);
        }
        key = end;
    }
    return changed;
}

/// \returns \a map with the owners in \a changed; keys that \a changed omits keep theirs. Applied
/// to two successive lists of changes, the result is the list of both.
inline range_map withChanges(const range_map &map, const range_map &changed)
{
    using namespace owner_map_detail;
    range_map result;
    std::size_t mapIndex = 0;
    std::size_t changedIndex = 0;
    for (int key = 0; key < keyCount;) {
        const key_span before = spanAt(map, mapIndex, key);
        const key_span after = spanAt(changed, changedIndex, key);
        const int end = std::min(before.end, after.end);
        if (const range_owner *owner = after.owner ? after.owner : before.owner) {
            append(result, key, end, owner);
        }
        key = end;
    }
    return result;
}

/// \returns the changes from \a from to \a to. Services that \a to omits keep their owners.
inline owner_delta changesBetween(const owner_update &from, const owner_update &to)
{
    owner_delta delta;
    delta.base = from.version;
    delta.version = to.version;
    for (const auto &[service, map] : to.rangeMaps) {
        const auto previous = from.rangeMaps.find(service);
        range_map changed =
            changedRanges(previous == from.rangeMaps.end() ? range_map{} : previous->second, map);
        if (!changed.owners.empty()) {
            delta.changed[service] = std::move(changed);
        }
    }
    return delta;
}

/// Applies \a delta to \a owners.
/// \returns false, without a change, if it applies to another version
inline bool applyDelta(owner_update &owners, const owner_delta &delta)
{
    if (delta.base != owners.version) {
        return false;
    }
    for (const auto &[service, changed] : delta.changed) {
        range_map &map = owners.rangeMaps[service];
        map = withChanges(map, changed);
    }
    owners.version = delta.version;
    return true;
}

/// Appends the changes of \a next, whose base is the version of \a delta.
inline void extendDelta(owner_delta &delta, const owner_delta &next)
{
    for (const auto &[service, changed] : next.changed) {
        range_map &map = delta.changed[service];
        map = withChanges(map, changed);
    }
    delta.version = next.version;
}

/// \returns the number of ranges in \a maps, which determines the size of a message with them.
inline std::size_t rangeCount(const std::map<service_id, range_map> &maps)
{
    std::size_t count = 0;
    for (const auto &[service, map] : maps) {
        count += map.owners.size();
    }
    return count;
}

/// \returns \a update in parts of at most \a maxRanges ranges.
inline std::vector<owner_part> partsOf(const owner_update &update, std::size_t maxRanges)
{
    std::vector<owner_part> parts;
    std::size_t free = 0; // Ranges for which the last part has space.
    for (const auto &[service, map] : update.rangeMaps) {
        for (const range_owner &owner : map.owners) {
            if (free == 0) {
                parts.emplace_back();
                free = maxRanges;
            }
            parts.back().rangeMaps[service].owners.push_back(owner);
            --free;
        }
    }
    for (std::size_t i = 0; i < parts.size(); ++i) {
        parts[i].version = update.version;
        parts[i].index = static_cast<std::uint32_t>(i);
        parts[i].count = static_cast<std::uint32_t>(parts.size());
    }
    return parts;
}

/// \class owner_assembly
/// \brief Combines the parts of the owners of all keys, which may arrive in any order.
///
/// \code
/// if (const auto update = assembly.add(part))
///     apply(*update);
/// \endcode
class owner_assembly
{
public:
    /// Adds a part, unless parts of a later version have arrived.
    /// \returns the owners if all their parts have arrived
    std::optional<owner_update> add(const owner_part &part)
    {
        if (part.version < m_owners.version) {
            return std::nullopt;
        }
        if (part.version > m_owners.version) {
            m_owners = {part.version, {}};
            m_received.clear();
        }
        m_received.insert(part.index);
        for (const auto &[service, owners] : part.rangeMaps) {
            range_map &map = m_owners.rangeMaps[service];
            map = withChanges(map, owners);
        }
        return m_received.size() == part.count ? std::optional(m_owners) : std::nullopt;
    }

private:
    owner_update m_owners;
    std::set<std::uint32_t> m_received; ///< indices of the parts
};

} // namespace damaskward
