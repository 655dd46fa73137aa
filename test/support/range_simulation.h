/// \file
/// \brief Simulates several range coordinators, their store and their targets in virtual time, with
/// seeded random faults and an observer that sees the actual state of all targets.

#pragma once

#include "src/Node/coordinator_role.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

namespace damaskward {
namespace testing {

/// An outage of the store that ends with an older copy of it.
struct store_restore
{
    milliseconds at{0}; ///< when the store goes away, since the start of the simulation
    milliseconds outage{0}; ///< how long it is away
    milliseconds copyAge{0}; ///< age of the copy when the store goes away
};

/// The seed, and deliberate defects that show whether the observer detects violations.
struct range_simulation_options
{
    std::uint64_t seed = 1;
    bool clockStopsWhileSuspended = false; ///< the clock of a VM stops while it is suspended
    bool storeIgnoresChecks = false; ///< the store applies every write
    bool targetIgnoresFencingTokens = false; ///< targets accept grants with lower tokens
    bool suspendsOnly = false; ///< the suspension of VMs is the only kind of fault
    bool targetIgnoresRelease = false; ///< targets confirm a release but keep the keys
    int targetClockSlowPercent = 2; ///< upper bound of how slow clocks of targets run
    bool storeRestores = false; ///< the store is also restored from older copies, and VMs restart
    bool restoreKeepsRows = false; ///< a restored store has its newest rows, only its era rises
    std::optional<store_restore> onlyRestore; ///< the only fault, if set
};

/// The result of a simulation.
struct range_simulation_report
{
    std::vector<std::string> violations;
    std::uint64_t grantsApplied = 0;
    std::uint64_t ownerChanges = 0; ///< grants with a higher token than any before at the target
    int coordinatorStarts = 0; ///< how often a VM became the coordinator
    /// The largest share of the keys that was owned at one time during the last two seconds.
    double ownedAtEnd = 0.0;
    int storeRestores = 0;
    /// With onlyRestore: the longest time that a key had no owner since the store was back.
    duration longestUnowned{};
};

/// Simulates one schedule: 40 s with faults, then 25 s without, or 35 s if the store is restored.
range_simulation_report runRangeSimulation(const range_simulation_options &options);

} // namespace testing
} // namespace damaskward
