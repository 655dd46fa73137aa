/// \file
/// \brief Several keepers of keys, their store and their targets in virtual time, with faults drawn
/// by a seed and an observer that knows the truth.

#pragma once

#include "src/Node/keeper_seat.h"

#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// What is broken on purpose, to show that the observer notices.
struct range_world_options
{
    std::uint64_t seed = 1;
    bool clockStopsInPause = false; ///< VMs' clocks do not count the time they are suspended
    bool storeIgnoresChecks = false; ///< the store applies every write
    bool targetIgnoresFences = false; ///< targets take grants with lower fences
    bool onlyPauses = false; ///< the one kind of fault is that VMs are suspended
    bool targetIgnoresRelease = false; ///< a target answers a release and keeps the keys
    int targetClockSlowPercent = 2; ///< the most by which a target's clock runs slow
};

/// What the observer saw.
struct range_world_report
{
    std::vector<std::string> violations;
    std::uint64_t grantsApplied = 0;
    std::uint64_t changesOfHands = 0; ///< grants with a fence not seen at that target before
    int keepers = 0; ///< times that a VM began to keep the keys
    double ownedAtEnd =
        0.0; ///< the largest share of the keys owned at one moment of the last seconds
};

/// Plays one schedule: some 40 s of faults, then 25 s of calm.
range_world_report playRangeWorld(const range_world_options &options);

} // namespace testing
} // namespace damaskward
