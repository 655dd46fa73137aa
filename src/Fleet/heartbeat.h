/// \file
/// \brief The messages by which VMs learn of each other.

#pragma once

#include "../Core/time.h"
#include "../Table/table_position.h"
#include "capacity_rating.h"

#include <algorithm>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace damaskward {

/// \returns an age as a time span. Ages beyond an hour, which no VM reports, count as an hour.
inline milliseconds boundedAge(std::int64_t millis)
{
    constexpr std::int64_t maxAgeMillis = 3600000;
    return milliseconds(std::clamp<std::int64_t>(millis, 0, maxAgeMillis));
}

/// Unanswered requests of one VM or of several VMs at one target.
struct target_requests
{
    std::uint32_t target = 0; ///< targetHash() of its name
    std::int32_t count = 0;
};

/// target_requests in the form that messages contain: the target in the upper 24 bits, the count,
/// at most 255, in the others.
using packed_requests = std::uint32_t;

inline constexpr unsigned requestCountBits = 8;

/// \returns \a requests in the form that messages contain.
inline packed_requests packRequests(target_requests requests)
{
    constexpr std::int32_t maxCount = (1 << requestCountBits) - 1;
    return requests.target << requestCountBits
        | static_cast<std::uint32_t>(std::clamp(requests.count, 0, maxCount));
}

/// \returns the requests that \a packed represents.
inline target_requests unpackRequests(packed_requests packed)
{
    constexpr std::uint32_t countMask = (1U << requestCountBits) - 1;
    return {packed >> requestCountBits, static_cast<std::int32_t>(packed & countMask)};
}

/// The heartbeat that a VM sends periodically, with its state.
struct heartbeat
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< start time of its process, in milliseconds since 1970
    std::uint64_t configVersion = 0;
    std::uint64_t mapVersion = 0; ///< version of the owner map in use
    /// The newest version of the owner map that it knows of. Who learns from a relay that a VM is
    /// alive thereby also learns of the map that this VM uses.
    std::uint64_t newestMapVersion = 0;
    /// Version of its coordinator lease's row, 0 if it has none.
    std::uint64_t coordinatorVersion = 0;
    std::uint64_t storeEra = 0; ///< newest store_era that it knows
    bool isShuttingDown = false;
    capacity_rating rating; ///< for roles that serve other VMs
    bool wantsIntroduction = false; ///< the recipient answers with the VMs to contact
    // For the VMs of its own data centre:
    bool wantsRequests = false; ///< the recipient's updates are to contain member_update::inFlight
    std::vector<packed_requests> inFlight; ///< its unanswered requests
    bool readsStore = false; ///< it is the store reader of its data centre and the store answers
    std::uint64_t registryVersion = 0; ///< version of the targets, see registry_delta
    table_position operatorPosition; ///< position up to which it knows the operators' rows
    std::vector<std::string> drainedDataCenters; ///< data centres that operators have drained
    std::int64_t registryAgeMillis = 0; ///< time since it began its last read, if readsStore
};

/// What identifies one VM and decides which roles it may have.
struct vm_identity
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< as in heartbeat
    capacity_rating rating;
    bool isShuttingDown = false;
    bool isCoordinator = false; ///< it is the range coordinator, which grants keys to targets
};

/// One entry of a roster, the numbered list of the VMs that a relay knows.
struct roster_entry
{
    std::uint32_t id = 0; ///< assigned by the relay, never reused by one incarnation of it
    bool isRemoved = false; ///< the relay has removed the VM; its identity is empty
    vm_identity identity;
};

/// A VM that the relay has not heard from recently.
struct silent_vm
{
    std::uint32_t id = 0; ///< as in roster_entry
    std::int64_t ageMillis = 0; ///< time since the relay, or the VM's own relay, heard from it
};

/// What a relay knows of one data centre.
struct center_state
{
    std::string name;
    std::int64_t ageMillis = 0; ///< time since it was last heard from
    std::map<std::string, double> loads; ///< by service: requests per slot at its targets
};

/// The heartbeat of another VM, passed on by a relay.
struct relayed_heartbeat
{
    heartbeat beat; ///< without inFlight
    std::int64_t ageMillis = 0; ///< time since the relay received it
};

/// An update that a relay sends: its own heartbeat, and what it knows of other VMs. To its own data
/// centre it reports all VMs of the fleet, to other data centres only those of its own.
struct member_update
{
    heartbeat sender; ///< without inFlight
    bool isIntroduction =
        false; ///< the changed entries are VMs to contact, and no part of a roster
    std::uint64_t rosterBase = 0; ///< the changes apply to this version; 0 starts a new roster
    std::uint64_t rosterVersion = 0; ///< after the changes
    std::vector<roster_entry> changed;
    std::vector<silent_vm> silent; ///< all others were heard from as recently as their data centre
    std::vector<center_state> centers;
    std::vector<relayed_heartbeat> relayed; ///< of the coordinator and of the store readers
    std::vector<packed_requests> inFlight; ///< of all VMs of the data centre together
};

/// Tells a relay which version of its roster the sender has.
struct roster_ack
{
    std::string from;
    std::uint64_t version = 0;
};

} // namespace damaskward
