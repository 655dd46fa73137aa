/// \file
/// \brief Decides which ranges of keys move so that no target carries much more than its share.

#pragma once

#include "key_load.h"
#include "range_map.h"

#include <string>
#include <vector>

namespace damaskward {

/// A target that may own keys.
struct owner_candidate
{
    std::string name;
    std::int64_t incarnation = 0;
    double capacity = 1.0; ///< in requests per second
};

/// A range of keys that should get another owner.
struct planned_move
{
    key_range keys;
    std::string from;
    std::string to;
};

/// \brief Moves ranges of keys from the most to the least loaded targets until the load of every
/// target is near its share. Without state or I/O.
///
/// The shares follow the square-root rule for servers of unequal speed: the share of a target is
/// its capacity minus a part of the total spare capacity that is proportional to the square root of
/// its capacity. So at low load the fast targets, which answer sooner, get most of the requests;
/// near overload the shares are proportional to capacity.
///
/// Handles three load patterns: targets of unequal speed; a range of hot adjacent keys, which is
/// divided among many targets; and new targets, which own no keys yet.
///
/// \code
/// for (const planned_move &move : planMoves(owners, load, candidates, 8, now))
///     release(move.keys);
/// \endcode
/// \param owners all ranges, each with its present or planned owner; the load of a range whose
/// owner is no candidate counts only in the total \param maxMoves the largest number of moves to
/// plan
std::vector<planned_move> planMoves(const std::vector<range_owner> &owners, const key_load &load,
                                    const std::vector<owner_candidate> &candidates,
                                    std::size_t maxMoves, time_point now);

/// \returns all keys divided into one range per candidate, in proportion to capacity.
std::vector<range_owner> evenSplit(const std::vector<owner_candidate> &candidates);

} // namespace damaskward
