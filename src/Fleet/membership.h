/// \file
/// \brief The other VMs of the fleet, as known from their heartbeats and from the updates of
/// relays.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "heartbeat.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace damaskward {

/// The last known state of one VM.
struct member
{
    heartbeat lastHeartbeat;
    time_point receivedAt{}; ///< when it was last heard from, here or by a relay
    /// The same, but only by this VM itself and by the relays of the VM's own data centre. Only
    /// this is passed on; otherwise two relays could keep a lost VM alive for each other.
    time_point firstHandAt{};
    time_point stateAt{}; ///< when the complete heartbeat was received, here or by a relay
    time_point heardAt{}; ///< when this VM itself last received a heartbeat of it
    std::uint64_t hash = 0; ///< hash of its name
};

/// \class membership
/// \brief The membership of the fleet: the known VMs and which of them are alive. Without I/O; not
/// thread-safe.
///
/// Roles are assigned by rendezvous hashing over the live VMs. VMs of a higher class come first for
/// roles that one VM has alone; roles that many VMs share are weighted by capacity. The lists of
/// live VMs are kept until a VM joins, leaves, changes, or could have expired, so that looking for
/// the holder of a role does not visit all VMs.
///
/// \code
/// peers.apply(beat, now);
/// if (const std::string &owner = peers.roleHolder("team/dojo", now); owner == self)
///     ...
/// \endcode
/// \sa heartbeat_exchange
class membership
{
public:
    /// A VM that has not been heard from for this long counts as not alive. The time spans several
    /// heartbeats, and the change of a relay.
    static constexpr milliseconds aliveTimeout{1300};
    /// A VM that has not been heard from for this long is removed; until then it may still be
    /// running and spending its share of a limit. The time is longer than any network partition
    /// for which that share must be reserved.
    static constexpr milliseconds removalTimeout{20000};

    explicit membership(std::string self, std::string dataCenter = {},
                        const capacity_rating &rating = {});

    /// \returns the rating of this VM.
    const capacity_rating &rating() const { return m_rating; }

    /// \returns whether a live VM of a higher class than this one can take over roles.
    bool higherClassAlive(time_point now) const;

    const std::string &self() const { return m_self; }
    const std::string &dataCenter() const { return m_dataCenter; }

    /// Applies a heartbeat that this VM has received, unless it is of a previous incarnation.
    /// \returns whether its incarnation differs from the known one, also for an unknown VM.
    bool apply(const heartbeat &beat, time_point now);

    /// Applies a heartbeat that a relay has received at \a receivedAt, unless a newer one is known.
    void applyRelayed(const heartbeat &beat, time_point receivedAt, time_point now);

    /// Applies a relay's statement that a VM was heard from at \a heardAt.
    /// \param isFirstHand whether the relay is in the data centre of the VM
    void refresh(const vm_identity &identity, time_point heardAt, bool isFirstHand, time_point now);
    /// The same for a known VM.
    void refresh(member &peer, const vm_identity &identity, time_point heardAt, bool isFirstHand,
                 time_point now);

    /// \returns the VM named \a name, or null. Valid until revision() changes.
    member *find(const std::string &name);

    /// Adds a VM to contact. It does not count as alive before it is heard from.
    void introduce(const vm_identity &identity, time_point now);

    /// Removes VMs that have been unresponsive for removalTimeout, and those that have announced
    /// their shutdown and are no longer alive.
    void expire(time_point now);

    static bool isAlive(const member &peer, time_point now)
    {
        return now < peer.receivedAt + aliveTimeout;
    }

    const std::map<std::string, member> &members() const { return m_peers; }

    /// \returns a number that increases when a VM is added or removed. Until then pointers to the
    /// members stay valid.
    std::uint64_t revision() const { return m_revision; }

    /// \returns the share of the fleet that this VM is in contact with, itself included. In a
    /// network partition, each side may spend this share of a fleet-wide limit.
    double reachableShare(time_point now) const;

    /// \returns the number of live VMs other than this one.
    std::size_t reachableCount(time_point now) const { return liveAt(now).count; }

    /// \returns the addresses of the live VMs other than this one.
    std::set<std::string> liveIps(time_point now) const;

    /// \returns the names of the other data centres that VMs are known in.
    std::vector<std::string> otherCenters() const;

    /// \returns the number of VMs that may be running, this one included.
    std::size_t knownCount() const { return 1 + m_peers.size(); }

    /// \returns the VM that has the role named \a role, one of many that the VMs of the fleet
    /// share. VMs with spare CPU get them in proportion to their weights; the others only if none
    /// has it.
    const std::string &roleHolder(std::string_view role, time_point now) const;

    /// \returns the VM that has the role named \a role in data centre \a dc; this VM if none is
    /// alive there.
    const std::string &roleHolderIn(std::string_view dc, std::string_view role,
                                    time_point now) const;

    /// \param maxSilence VMs whose last heartbeat is older are ignored
    /// \param maxReadAge VMs whose last read of the store is older are ignored
    /// \returns the active store reader of this data centre, or null. If there are several, the one
    /// with the highest rank for \a role.
    const member *storeReader(std::string_view role, milliseconds maxSilence,
                              milliseconds maxReadAge, time_point now) const;

    /// \returns whether \a peer ranks before this VM for \a role.
    bool ranksBefore(const member &peer, std::string_view role) const;

    /// \returns the live VMs of data centre \a dc other than this one, by descending rank for
    /// \a role. VMs that shut down are left out.
    std::vector<const member *> rankedIn(std::string_view dc, std::string_view role,
                                         time_point now) const;

    /// \returns the known VMs of data centre \a dc other than this one, by descending rank for
    /// \a role, whether alive or not.
    std::vector<const member *> knownIn(std::string_view dc, std::string_view role) const;

    /// \returns the number of live VMs that rank before this one for the fleet-wide \a role.
    /// A VM waits longer before it takes over a role the higher this number is; the bound keeps
    /// that delay short in a large fleet.
    int rankFor(std::string_view role, time_point now) const;

    /// \returns the number of live VMs of this data centre that rank before this one for \a role.
    int rankWithin(std::string_view role, time_point now) const;

private:
    using member_list = std::vector<const member *>;

    /// The live VMs, valid until one of them could have expired.
    struct live_vms
    {
        time_point builtAt{};
        time_point validUntil{};
        std::size_t count = 0;
        member_list candidates; ///< those that do not shut down
        /// Of candidates, those with spare CPU; all candidates if no VM has it.
        member_list preferred;
        bool isSelfPreferred = false; ///< whether this VM is among the preferred ones
        std::map<std::string, member_list, std::less<>> candidatesByCenter;
    };

    member &peerOf(const std::string &name);
    void markHeard(member &peer, time_point at, time_point now);
    const live_vms &liveAt(time_point now) const;
    const member_list &candidatesIn(std::string_view dc, time_point now) const;
    int rankAmong(const member_list &peers, std::string_view role) const;
    const std::string &highestRanked(const member_list &peers, std::string_view role,
                                     bool includeSelf) const;

    std::string m_self;
    std::string m_dataCenter;
    capacity_rating m_rating;
    std::uint64_t m_selfHash;
    std::map<std::string, member> m_peers;
    std::uint64_t m_revision = 1;
    mutable live_vms m_live;
    mutable bool m_liveIsValid = false;
};

} // namespace damaskward
