/// \file
/// \brief The other VMs of the fleet, as known from their heartbeats and from membership digests.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Hashing/key_hash.h"
#include "../Table/table_position.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskward {

/// The heartbeat that a VM sends periodically, with its state.
struct heartbeat
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< start time of its process, in milliseconds since 1970
    std::uint64_t configVersion = 0;
    std::uint64_t mapVersion = 0; ///< version of the owner map in use
    /// Version of its coordinator lease's row, 0 if it has none.
    std::uint64_t coordinatorVersion = 0;
    std::uint64_t storeEra = 0; ///< newest store_era that it knows
    bool isShuttingDown = false;
    bool hasSpareCpu = true; ///< for roles that serve the whole fleet
    bool knowsNoPeer = false;
    // For the VMs of its own data centre:
    std::map<std::string, int> inFlight; ///< its unanswered requests by target
    bool readsStore = false; ///< it is the store reader of its data centre and the store answers
    std::uint64_t registryVersion = 0; ///< version of the targets, see registry_delta
    table_position operatorPosition; ///< position up to which it knows the operators' rows
    std::vector<std::string> drainedDataCenters; ///< data centres that operators have drained
};

/// One VM in a membership digest.
struct digest_entry
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< as in heartbeat
    bool hasSpareCpu = true;
    bool isShuttingDown = false;
    bool isCoordinator = false; ///< it is the range coordinator, which grants keys to targets
    std::int64_t ageMillis = 0; ///< time since its last heartbeat
};

/// Membership digest: the live VMs of a data centre, sent by one of them to the other data
/// centres.
struct membership_digest
{
    std::string dataCenter; ///< of the sender
    std::string ip; ///< of the sender
    std::uint64_t configVersion = 0; ///< configuration that the sender uses
    std::uint64_t mapVersion = 0; ///< owner map that the sender uses
    std::vector<digest_entry> vms;
    std::map<std::string, double> loads; ///< by service: requests per slot at its local targets
    std::uint64_t storeEra = 0; ///< newest store_era that the sender knows
};

/// The last known state of one VM.
struct member
{
    heartbeat lastHeartbeat;
    time_point receivedAt{}; ///< when its last heartbeat was received, here or by a digest's sender
    std::uint64_t hash = 0; ///< hash of its name
};

/// \class membership
/// \brief The membership of the fleet: the known VMs and which of them are alive. Without I/O; not
/// thread-safe.
///
/// VMs of one data centre receive each other's heartbeats. From other data centres they receive
/// digests, so that the traffic between data centres grows linearly with the fleet, not
/// quadratically.
///
/// Roles are assigned by rendezvous hashing over the live VMs; those with spare CPU come first.
///
/// \code
/// peers.apply(beat, now);
/// if (const std::string &owner = peers.roleHolder("team/dojo", now); owner == self)
///     ...
/// \endcode
class membership
{
public:
    /// A VM that has not sent a heartbeat for this long counts as not alive. The time spans three
    /// digests of one sender.
    static constexpr milliseconds aliveTimeout{1300};
    /// A VM that has not sent a heartbeat for this long is removed; until then it may still be
    /// running and spending its share of a limit. The time is longer than any network partition
    /// for which that share must be reserved.
    static constexpr milliseconds removalTimeout{20000};

    explicit membership(std::string self, std::string dataCenter = {}, bool hasSpareCpu = true)
        : m_self(std::move(self))
        , m_dataCenter(std::move(dataCenter))
        , m_hasSpareCpu(hasSpareCpu)
        , m_selfHash(keyHash(m_self))
    { }

    /// \returns whether this VM has spare CPU for roles that serve the whole fleet.
    bool hasSpareCpu() const { return m_hasSpareCpu; }

    const std::string &self() const { return m_self; }

    /// Applies a heartbeat, unless it is of a previous incarnation.
    /// \returns whether its incarnation differs from the known one, also for an unknown VM.
    bool apply(const heartbeat &beat, time_point now)
    {
        member &peer = m_peers[beat.name];
        const bool isOtherIncarnation = peer.lastHeartbeat.incarnation != beat.incarnation;
        if (beat.incarnation >= peer.lastHeartbeat.incarnation) {
            peer.lastHeartbeat = beat;
            peer.receivedAt = now;
            peer.hash = keyHash(beat.name);
        }
        return isOtherIncarnation;
    }

    /// Applies those entries of a digest that are newer than the known state of their VMs.
    void apply(const membership_digest &digest, time_point now)
    {
        for (const digest_entry &vm : digest.vms) {
            const time_point receivedAt = now - milliseconds(vm.ageMillis);
            const auto known = m_peers.find(vm.name);
            const bool isOutdated = known != m_peers.end()
                && (vm.incarnation < known->second.lastHeartbeat.incarnation
                    || receivedAt <= known->second.receivedAt);
            if (vm.name == m_self || isOutdated) {
                continue;
            }
            member &peer = m_peers[vm.name];
            if (peer.lastHeartbeat.incarnation != vm.incarnation) {
                peer.lastHeartbeat = {};
            }
            peer.lastHeartbeat.name = vm.name;
            peer.lastHeartbeat.dataCenter = vm.dataCenter;
            peer.lastHeartbeat.ip = vm.ip;
            peer.lastHeartbeat.incarnation = vm.incarnation;
            peer.lastHeartbeat.hasSpareCpu = vm.hasSpareCpu;
            peer.lastHeartbeat.isShuttingDown = vm.isShuttingDown;
            if (!vm.isCoordinator) {
                peer.lastHeartbeat.coordinatorVersion = 0;
            }
            peer.receivedAt = receivedAt;
            peer.hash = keyHash(vm.name);
        }
    }

    /// \param self this VM's own heartbeat
    /// \param includeRemote whether to include the VMs of other data centres, for a recipient that
    ///        knows no peer yet
    /// \returns the digest to send.
    membership_digest digest(const heartbeat &self, bool includeRemote, time_point now) const
    {
        membership_digest result{
            self.dataCenter, self.ip, self.configVersion, self.mapVersion, {}, {}, self.storeEra};
        result.vms.push_back(entryOf(self, 0));
        for (const auto &[name, peer] : m_peers) {
            if (isAlive(peer, now)
                && (includeRemote || peer.lastHeartbeat.dataCenter == self.dataCenter)) {
                result.vms.push_back(entryOf(peer.lastHeartbeat, toMillis(now - peer.receivedAt)));
            }
        }
        return result;
    }

    /// Chooses the recipient of a digest. The two highest-ranked VMs for \a role alternate, so
    /// that the failure of one of them loses only every second digest. If no VM of the data centre
    /// is alive, all known ones are tried in rotation.
    /// \param dc the data centre that the digest goes to
    /// \param turn number of the digest
    /// \returns the recipient, or null if no VM of \a dc is known.
    const member *chooseRecipient(std::string_view dc, std::string_view role, std::size_t turn,
                                  time_point now) const
    {
        const std::uint64_t hash = keyHash(role);
        std::vector<std::pair<std::pair<bool, std::uint64_t>, const member *>> live;
        std::vector<const member *> known;
        for (const auto &[name, peer] : m_peers) {
            if (peer.lastHeartbeat.dataCenter != dc) {
                continue;
            }
            known.push_back(&peer);
            if (isAlive(peer, now) && !peer.lastHeartbeat.isShuttingDown) {
                live.push_back(
                    {{peer.lastHeartbeat.hasSpareCpu, combineHash(hash, peer.hash)}, &peer});
            }
        }
        if (live.empty()) {
            return known.empty() ? nullptr : known[turn % known.size()];
        }
        constexpr std::size_t recipients = 2;
        const std::size_t count = std::min(recipients, live.size());
        std::partial_sort(live.begin(), live.begin() + static_cast<std::ptrdiff_t>(count),
                          live.end(),
                          [](const auto &a, const auto &b) { return a.first > b.first; });
        return live[turn % count].second;
    }

    /// Removes VMs that have been unresponsive for removalTimeout, and those that have announced
    /// their shutdown and are no longer alive.
    void expire(time_point now)
    {
        for (auto it = m_peers.begin(); it != m_peers.end();) {
            const bool isExpired = now >= it->second.receivedAt + removalTimeout
                || (it->second.lastHeartbeat.isShuttingDown && !isAlive(it->second, now));
            it = isExpired ? m_peers.erase(it) : std::next(it);
        }
    }

    static bool isAlive(const member &peer, time_point now)
    {
        return now < peer.receivedAt + aliveTimeout;
    }

    const std::map<std::string, member> &members() const { return m_peers; }

    /// \returns the share of the fleet that this VM is in contact with, itself included. In a
    /// network partition, each side may spend this share of a fleet-wide limit.
    double reachableShare(time_point now) const
    {
        double reachable = 1.0;
        for (const auto &[name, peer] : m_peers) {
            reachable += isAlive(peer, now) ? 1.0 : 0.0;
        }
        return reachable / (1.0 + static_cast<double>(m_peers.size()));
    }

    /// \returns the number of VMs that may be running, this one included.
    std::size_t knownCount() const { return 1 + m_peers.size(); }

    /// \returns the VM that has the fleet-wide role named \a role.
    const std::string &roleHolder(std::string_view role, time_point now) const
    {
        return highestRanked(role, true, [now](const member &peer) {
            return isAlive(peer, now) && !peer.lastHeartbeat.isShuttingDown;
        });
    }

    /// \returns the VM that has the role named \a role in data centre \a dc; this VM if none is
    /// alive there.
    const std::string &roleHolderIn(std::string_view dc, std::string_view role,
                                    time_point now) const
    {
        return highestRanked(role, dc == m_dataCenter, [now, dc](const member &peer) {
            return peer.lastHeartbeat.dataCenter == dc && isAlive(peer, now)
                && !peer.lastHeartbeat.isShuttingDown;
        });
    }

    /// \param maxAge VMs whose last heartbeat is older are ignored
    /// \returns the active store reader of this data centre, or null. If there are several, the one
    /// with the highest rank for \a role.
    const member *storeReader(std::string_view role, milliseconds maxAge, time_point now) const
    {
        const std::uint64_t hash = keyHash(role);
        const auto rankOf = [hash](const member &peer) {
            return std::pair(peer.lastHeartbeat.hasSpareCpu, combineHash(hash, peer.hash));
        };
        const member *best = nullptr;
        for (const auto &[name, peer] : m_peers) {
            const bool isReader = peer.lastHeartbeat.dataCenter == m_dataCenter
                && peer.lastHeartbeat.readsStore && !peer.lastHeartbeat.isShuttingDown
                && now < peer.receivedAt + maxAge;
            if (isReader && (!best || rankOf(*best) < rankOf(peer))) {
                best = &peer;
            }
        }
        return best;
    }

    /// \returns the number of live VMs that rank before this one for the fleet-wide \a role.
    /// A VM waits longer before it takes over a role the higher this number is; the bound keeps
    /// that delay short in a large fleet.
    int rankFor(std::string_view role, time_point now) const
    {
        constexpr int maxRank = 8;
        return std::min(rankAmong({}, role, now), maxRank);
    }

    /// \returns the number of live VMs of this data centre that rank before this one for \a role.
    int rankWithin(std::string_view role, time_point now) const
    {
        return rankAmong(m_dataCenter, role, now);
    }

private:
    static digest_entry entryOf(const heartbeat &beat, std::int64_t ageMillis)
    {
        return {beat.name,
                beat.dataCenter,
                beat.ip,
                beat.incarnation,
                beat.hasSpareCpu,
                beat.isShuttingDown,
                beat.coordinatorVersion != 0,
                ageMillis};
    }

    int rankAmong(std::string_view dc, std::string_view role, time_point now) const
    {
        const std::uint64_t hash = keyHash(role);
        const std::uint64_t own = combineHash(hash, m_selfHash);
        int rank = 0;
        for (const auto &[name, peer] : m_peers) {
            const bool ranksBefore = peer.lastHeartbeat.hasSpareCpu != m_hasSpareCpu
                ? peer.lastHeartbeat.hasSpareCpu
                : combineHash(hash, peer.hash) > own;
            const bool isCandidate = dc.empty() || peer.lastHeartbeat.dataCenter == dc;
            rank += ranksBefore && isCandidate && isAlive(peer, now)
                    && !peer.lastHeartbeat.isShuttingDown
                ? 1
                : 0;
        }
        return rank;
    }

    template <typename Predicate>
    const std::string &highestRanked(std::string_view role, bool includeSelf,
                                     Predicate isCandidate) const
    {
        const std::uint64_t hash = keyHash(role);
        using rank = std::pair<bool, std::uint64_t>; // Spare CPU, then hash.
        const std::string *best = &m_self;
        rank bestRank =
            includeSelf ? rank(m_hasSpareCpu, combineHash(hash, m_selfHash)) : rank(false, 0);
        for (const auto &[name, peer] : m_peers) {
            const rank other(peer.lastHeartbeat.hasSpareCpu, combineHash(hash, peer.hash));
            if (isCandidate(peer) && bestRank < other) {
                best = &name;
                bestRank = other;
            }
        }
        return *best;
    }

    std::string m_self;
    std::string m_dataCenter;
    bool m_hasSpareCpu;
    std::uint64_t m_selfHash;
    std::map<std::string, member> m_peers;
};

} // namespace damaskward
