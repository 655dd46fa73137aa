/// \file
/// \brief What a process is told of the VM it runs on and of its surroundings.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace damaskward {

/// Bounds that the platform's operators have set.
struct fleet_bounds
{
    milliseconds drainTime{2000}; ///< a leaving target gets no new work after this time
    milliseconds gracePeriod{6000}; ///< from SIGTERM to SIGKILL
    milliseconds contactTime{3000}; ///< silence after which a VM counts as out of contact
    milliseconds longestHold{10000}; ///< of a grant of keys
    double retryShare = 0.2; ///< repeated sends per request, over the whole fleet
    double retrySlack = 64.0; ///< repeated sends beyond that share
    seconds retryWindow{10}; ///< the window of both
    double teamOvershoot = 0.1; ///< of what a team's limit allows in a window, that is tolerated
    double teamSlack = 20.0; ///< requests tolerated beyond that
    seconds teamWindow{5}; ///< the window of both
};

/// A process's surroundings.
struct vm_environment
{
    vm_id name;
    data_center_id dataCenter;
    std::string ip;
    std::string callerAddress; ///< where callers connect
    std::string readyAddress; ///< where the platform asks whether to send callers here
    std::uint16_t peerPort = 0; ///< free for messages among VMs, the same on every VM
    std::uint16_t metricsPort = 9464; ///< Prometheus' usual port for exporters
    std::vector<std::string> seedIps; ///< some other VMs; they may be gone
    std::string storeAddress; ///< the platform's store
    bool firstStart = false; ///< the whole fleet starts for the first time: no callers yet
    double cpuShare = 1.0; ///< of a core
    std::size_t memoryBytes = 0; ///< the process is killed beyond this
    fleet_bounds bounds;
};

} // namespace damaskward
