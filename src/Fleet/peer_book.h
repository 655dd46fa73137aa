/// \file
/// \brief The other VMs of the fleet, as their heartbeats show them.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"
#include "../Hashing/key_hash.h"

#include <algorithm>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace damaskward {

/// What a VM says of itself, again and again.
struct peer_beat
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< when its process began, in milliseconds since 1970
    std::uint64_t configVersion = 0;
    std::uint64_t mapVersion = 0; ///< of the map of owners it goes by
    std::uint64_t keeperVersion = 0; ///< of its lease's row if it grants keys to targets, else 0
    bool leaving = false; ///< it is about to stop
    bool strong = true; ///< it has processor time to spare for duties of the whole fleet
    bool alone = false; ///< it knows no other VM yet
    // For the VMs of its own data centre:
    std::map<std::string, int> inFlight; ///< its unanswered requests by target
    bool readsStore = false; ///< it reads the store for its data centre, and is answered
    std::uint64_t registryVersion = 0; ///< of the targets, as a registry_delta numbers them
    std::uint64_t operatorRevision = 0; ///< of the operators' rows that it has read
    std::vector<std::string> outDataCenters; ///< data centres that operators have taken out
};

/// One VM in a digest.
struct peer_summary
{
    std::string name;
    std::string dataCenter;
    std::string ip;
    std::int64_t incarnation = 0; ///< as in peer_beat
    bool strong = true;
    bool leaving = false;
    bool keeps = false; ///< it grants keys to targets
    std::int64_t ageMillis = 0; ///< since it was heard
};

/// The living VMs of a data centre, as one of them tells the other data centres.
struct peer_digest
{
    std::string dataCenter; ///< of the teller
    std::string ip; ///< of the teller
    std::uint64_t configVersion = 0; ///< that the teller goes by
    std::uint64_t mapVersion = 0; ///< of the map of owners that it goes by
    std::vector<peer_summary> vms;
    std::map<std::string, double> loads; ///< by service: requests per slot at its targets there
};

/// One VM as last heard of.
struct peer_state
{
    peer_beat beat;
    time_point heardAt{};
    std::uint64_t hash = 0; ///< of its name
};

/// \class peer_book
/// \brief Which VMs there are and which are alive. Without I/O; not thread-safe.
///
/// VMs of one data centre hear each other's heartbeats. Of other data centres they hear digests,
/// so that what passes between data centres grows with the fleet and not with its square.
///
/// \code
/// peers.heard(beat, now);
/// if (const std::string &bank = peers.placeOf("team/dojo", now); bank == self)
///     ...
/// \endcode
class peer_book
{
public:
    /// A VM silent for this long is passed over: three digests of one teller.
    static constexpr milliseconds aliveTime{1300};
    /// A VM silent for this long no longer counts as one that may still be acting somewhere:
    /// longer than any cut that its share of a limit must be kept back for.
    static constexpr milliseconds knownTime{20000};

    explicit peer_book(std::string self, std::string dataCenter = {}, bool strong = true)
        : m_self(std::move(self))
        , m_dataCenter(std::move(dataCenter))
        , m_strong(strong)
        , m_selfHash(keyHash(m_self))
    { }

    /// \returns whether this VM has processor time to spare for duties of the whole fleet.
    bool strong() const { return m_strong; }

    const std::string &self() const { return m_self; }

    /// Takes over a heartbeat. \returns whether the VM, or its present life, was unknown.
    bool heard(const peer_beat &beat, time_point now)
    {
        peer_state &peer = m_peers[beat.name];
        const bool fresh = peer.beat.incarnation != beat.incarnation;
        if (beat.incarnation >= peer.beat.incarnation) {
            peer.beat = beat;
            peer.heardAt = now;
            peer.hash = keyHash(beat.name);
        }
        return fresh;
    }

    /// Takes over what a digest says, as far as it is newer than what was heard.
    void heard(const peer_digest &digest, time_point now)
    {
        for (const peer_summary &vm : digest.vms) {
            const time_point heardAt = now - milliseconds(vm.ageMillis);
            const auto known = m_peers.find(vm.name);
            const bool older = known != m_peers.end()
                && (vm.incarnation < known->second.beat.incarnation
                    || heardAt <= known->second.heardAt);
            if (vm.name == m_self || older) {
                continue;
            }
            peer_state &peer = m_peers[vm.name];
            if (peer.beat.incarnation != vm.incarnation) {
                peer.beat = {};
            }
            peer.beat.name = vm.name;
            peer.beat.dataCenter = vm.dataCenter;
            peer.beat.ip = vm.ip;
            peer.beat.incarnation = vm.incarnation;
            peer.beat.strong = vm.strong;
            peer.beat.leaving = vm.leaving;
            if (!vm.keeps) {
                peer.beat.keeperVersion = 0;
            }
            peer.heardAt = heardAt;
            peer.hash = keyHash(vm.name);
        }
    }

    /// \param self this VM's own heartbeat
    /// \param everywhere whether VMs of other data centres are told of too: for a VM that knows
    /// none \returns the digest to send.
    peer_digest digest(const peer_beat &self, bool everywhere, time_point now) const
    {
        peer_digest result{self.dataCenter, self.ip, self.configVersion, self.mapVersion, {}, {}};
        result.vms.push_back(summaryOf(self, 0));
        for (const auto &[name, peer] : m_peers) {
            if (alive(peer, now) && (everywhere || peer.beat.dataCenter == self.dataCenter)) {
                result.vms.push_back(summaryOf(peer.beat, toMillis(now - peer.heardAt)));
            }
        }
        return result;
    }

    /// \returns the VM of data centre \a dc to tell in turn \a turn: the first two for \a duty
    /// there alternate, so that the loss of one loses every second digest only. Where none is
    /// alive, all that are known take turns. Null when none is known.
    const peer_state *listener(std::string_view dc, std::string_view duty, std::size_t turn,
                               time_point now) const
    {
        const std::uint64_t hash = keyHash(duty);
        std::vector<std::pair<std::pair<bool, std::uint64_t>, const peer_state *>> living;
        std::vector<const peer_state *> known;
        for (const auto &[name, peer] : m_peers) {
            if (peer.beat.dataCenter != dc) {
                continue;
            }
            known.push_back(&peer);
            if (alive(peer, now) && !peer.beat.leaving) {
                living.push_back({{peer.beat.strong, combineHash(hash, peer.hash)}, &peer});
            }
        }
        if (living.empty()) {
            return known.empty() ? nullptr : known[turn % known.size()];
        }
        constexpr std::size_t listeners = 2;
        const std::size_t count = std::min(listeners, living.size());
        std::partial_sort(living.begin(), living.begin() + static_cast<std::ptrdiff_t>(count),
                          living.end(),
                          [](const auto &a, const auto &b) { return a.first > b.first; });
        return living[turn % count].second;
    }

    /// Forgets VMs that have been silent for long or have said that they leave.
    void expire(time_point now)
    {
        for (auto it = m_peers.begin(); it != m_peers.end();) {
            const bool gone = now >= it->second.heardAt + knownTime
                || (it->second.beat.leaving && !alive(it->second, now));
            it = gone ? m_peers.erase(it) : std::next(it);
        }
    }

    static bool alive(const peer_state &peer, time_point now)
    {
        return now < peer.heardAt + aliveTime;
    }

    const std::map<std::string, peer_state> &all() const { return m_peers; }

    /// \returns the share of the fleet that this VM is in contact with, itself included: what a
    /// part of a cut fleet may spend of a limit for all.
    double reachableShare(time_point now) const
    {
        double reachable = 1.0;
        for (const auto &[name, peer] : m_peers) {
            reachable += alive(peer, now) ? 1.0 : 0.0;
        }
        return reachable / (1.0 + static_cast<double>(m_peers.size()));
    }

    /// \returns the number of VMs that may be acting, this one included.
    std::size_t knownCount() const { return 1 + m_peers.size(); }

    /// \returns the VM that does the duty named \a duty for the fleet: by rendezvous hashing over
    /// the living, strong ones first.
    const std::string &placeOf(std::string_view duty, time_point now) const
    {
        return bestPlace(duty, true, [now](const peer_state &peer) {
            return alive(peer, now) && !peer.beat.leaving;
        });
    }

    /// \returns the VM of data centre \a dc that does the duty named \a duty there; this VM if none
    /// is alive there.
    const std::string &placeWithin(std::string_view dc, std::string_view duty, time_point now) const
    {
        return bestPlace(duty, dc == m_dataCenter, [now, dc](const peer_state &peer) {
            return peer.beat.dataCenter == dc && alive(peer, now) && !peer.beat.leaving;
        });
    }

    /// \returns the first for \a duty of those VMs of this data centre that read the store for it,
    /// or null; heartbeats older than \a silence do not count.
    const peer_state *reader(std::string_view duty, milliseconds silence, time_point now) const
    {
        const std::uint64_t hash = keyHash(duty);
        const auto rankOf = [hash](const peer_state &peer) {
            return std::pair(peer.beat.strong, combineHash(hash, peer.hash));
        };
        const peer_state *best = nullptr;
        for (const auto &[name, peer] : m_peers) {
            const bool reads = peer.beat.dataCenter == m_dataCenter && peer.beat.readsStore
                && !peer.beat.leaving && now < peer.heardAt + silence;
            if (reads && (!best || rankOf(*best) < rankOf(peer))) {
                best = &peer;
            }
        }
        return best;
    }

    /// \returns how many living VMs come before this one for the duty named \a duty: strong ones
    /// first, then by rendezvous hashing. Bounded, so that in a large fleet nobody waits for long.
    int rankFor(std::string_view duty, time_point now) const
    {
        constexpr int mostRank = 8;
        return std::min(rankAmong({}, duty, now), mostRank);
    }

    /// \returns how many living VMs of this one's data centre come before it for \a duty.
    int rankWithin(std::string_view duty, time_point now) const
    {
        return rankAmong(m_dataCenter, duty, now);
    }

private:
    static peer_summary summaryOf(const peer_beat &beat, std::int64_t ageMillis)
    {
        return {beat.name,    beat.dataCenter,         beat.ip,  beat.incarnation, beat.strong,
                beat.leaving, beat.keeperVersion != 0, ageMillis};
    }

    int rankAmong(std::string_view dc, std::string_view duty, time_point now) const
    {
        const std::uint64_t hash = keyHash(duty);
        const std::uint64_t own = combineHash(hash, m_selfHash);
        int rank = 0;
        for (const auto &[name, peer] : m_peers) {
            const bool before = peer.beat.strong != m_strong ? peer.beat.strong
                                                             : combineHash(hash, peer.hash) > own;
            const bool counts = dc.empty() || peer.beat.dataCenter == dc;
            rank += before && counts && alive(peer, now) && !peer.beat.leaving ? 1 : 0;
        }
        return rank;
    }

    template <typename Counts>
    const std::string &bestPlace(std::string_view duty, bool withSelf, Counts counts) const
    {
        const std::uint64_t hash = keyHash(duty);
        using rank = std::pair<bool, std::uint64_t>; // Strength first.
        const std::string *best = &m_self;
        rank bestRank = withSelf ? rank(m_strong, combineHash(hash, m_selfHash)) : rank(false, 0);
        for (const auto &[name, peer] : m_peers) {
            const rank other(peer.beat.strong, combineHash(hash, peer.hash));
            if (counts(peer) && bestRank < other) {
                best = &name;
                bestRank = other;
            }
        }
        return *best;
    }

    std::string m_self;
    std::string m_dataCenter;
    bool m_strong;
    std::uint64_t m_selfHash;
    std::map<std::string, peer_state> m_peers;
};

} // namespace damaskward
