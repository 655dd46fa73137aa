/// \file
/// \brief Decides which runs of keys move so that no target carries much more than its part.

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
    double capacity = 1.0; ///< requests a second that it gets done
};

/// A run of keys that should change hands.
struct planned_move
{
    key_range keys;
    std::string from;
    std::string to;
};

/// \class range_planner
/// \brief Moves runs of keys from the most to the least loaded target until all are near their
/// part. Without state or I/O.
///
/// A target's part follows the square-root rule for queues of unequal speed: what a target can do
/// less spare capacity in proportion to its root. So at low load the fast targets, which answer
/// sooner, get most; near overload the parts are proportional to capacity.
///
/// Answers three patterns: targets of unequal speed, a run of hot neighbours, which is cut into
/// pieces over many targets, and targets that join without keys.
///
/// \code
/// for (const planned_move &move : planMoves(owners, load, candidates, 8, now))
///     release(move.keys);
/// \endcode
/// \param owners the settled pieces; others are not moved but count as load of their target
/// \param mostMoves how many moves are planned at most
std::vector<planned_move> planMoves(const std::vector<range_owner> &owners, const key_load &load,
                                    const std::vector<owner_candidate> &candidates,
                                    std::size_t mostMoves, time_point now);

/// \returns all keys cut into one run a candidate, in proportion to capacity.
std::vector<range_owner> evenSplit(const std::vector<owner_candidate> &candidates);

} // namespace damaskward
