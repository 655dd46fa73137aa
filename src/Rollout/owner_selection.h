/// \file
/// \brief Which targets of a sharded service may own keys while a roll-out moves them.

#pragma once

#include "../Fleet/target_pool.h"
#include "../Ranges/range_map.h"
#include "rollout_share.h"

#include <map>
#include <set>
#include <string>

namespace damaskward {

/// \class owner_selection
/// \brief Moves the keys of a service to a new version, target by target. Without I/O; not
/// thread-safe.
///
/// With a share s, the fraction s of the new targets may own keys, and the same fraction of the old
/// ones may not any more. So each target has its usual load, each key moves once, and a stage moves
/// few ranges. A target that may own keys has its whole load: with a reduced capacity, the planner
/// gave it so few keys that the first stage of a service with eight targets took 8 s. The share in
/// use follows that of the roll-out within a limited rate, because keys are not served while they
/// move.
///
/// \code
/// const auto excluded = selection.excluded(service, targets, now);
/// view.mayOwn = excluded.count(name) == 0;
/// \endcode
class owner_selection
{
public:
    explicit owner_selection(const rollout_share &rollouts)
        : m_rollouts(rollouts)
    { }

    /// \returns the targets of \a service that may own no keys.
    std::set<std::string> excluded(const service_id &service, const target_pool &targets,
                                   time_point now);

    /// \returns whether all keys of \a owners belong to targets of \a version.
    static bool ownsAll(const std::string &version, const range_map &owners,
                        const target_pool &targets);

private:
    struct ramp
    {
        double share = 0.0;
        time_point updatedAt{};
    };

    double rampedShare(const service_id &service, double share, time_point now);

    const rollout_share &m_rollouts;
    std::map<service_id, ramp> m_ramps;
};

} // namespace damaskward
