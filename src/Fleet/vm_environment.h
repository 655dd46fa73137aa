/// \file
/// \brief What the platform tells a process about its VM, its network and the fleet's bounds.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "vm_capacity.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// Bounds set by the platform's operators.
struct fleet_bounds
{
    milliseconds drainTime{2000}; ///< a draining target gets no new work after this time
    milliseconds gracePeriod{6000}; ///< from SIGTERM to SIGKILL
    /// A VM that is unresponsive for this long is out of contact.
    milliseconds contactTimeout{3000};
    milliseconds maxLeaseDuration{10000}; ///< upper bound on the lease duration of a grant of keys
    double retryShare = 0.2; ///< allowed retries per request, over the whole fleet
    double retrySlack = 64.0; ///< retries allowed beyond retryShare
    seconds retryWindow{10}; ///< the window in which retryShare and retrySlack apply
    double teamOvershoot = 0.1; ///< tolerated excess, as a fraction of what a team's limit allows
    double teamSlack = 20.0; ///< requests tolerated beyond teamOvershoot
    /// Fraction of a service's requests that a bad new version may get during its roll-out, 0 if
    /// the operators state no bound.
    double exposedShare = 0.0;
    seconds teamWindow{5}; ///< the window in which teamOvershoot and teamSlack apply
};

/// The environment of a process.
struct vm_environment
{
    vm_id name;
    data_center_id dataCenter;
    std::string ip;
    std::string callerAddress; ///< where callers connect
    std::string readyAddress; ///< where the platform checks whether to send callers to this VM
    std::uint16_t peerPort = 0; ///< for messages among VMs, the same on every VM
    std::uint16_t metricsPort = 9464; ///< Prometheus' usual port for exporters
    std::vector<std::string> seedIps; ///< some other VMs, which may no longer exist
    std::string storeAddress; ///< the platform's store
    bool firstStart = false; ///< the whole fleet starts for the first time; no callers yet
    vm_capacity capacity;
    fleet_bounds bounds;
};

} // namespace damaskward
