#include "membership.h"

#include "../Hashing/key_hash.h"
#include "../Hashing/rendezvous.h"

#include <algorithm>
#include <utility>

namespace damaskward {
namespace {

using rank = std::pair<std::uint8_t, std::uint64_t>; // Class, then hash.

rank rankOf(const member &peer, std::uint64_t roleHash)
{
    return {peer.lastHeartbeat.rating.roleClass, combineHash(roleHash, peer.hash)};
}

void sortByRank(std::vector<const member *> &peers, std::string_view role)
{
    const std::uint64_t hash = keyHash(role);
    std::sort(peers.begin(), peers.end(), [hash](const member *a, const member *b) {
        return rankOf(*a, hash) > rankOf(*b, hash);
    });
}

} // namespace

membership::membership(std::string self, std::string dataCenter, const capacity_rating &rating)
    : m_self(std::move(self))
    , m_dataCenter(std::move(dataCenter))
    , m_rating(rating)
    , m_selfHash(keyHash(m_self))
{ }

member &membership::peerOf(const std::string &name)
{
    const auto [it, isNew] = m_peers.try_emplace(name);
    if (isNew) {
        it->second.lastHeartbeat.name = name;
        it->second.hash = keyHash(name);
        m_liveIsValid = false;
        ++m_revision;
    }
    return it->second;
}

void membership::markHeard(member &peer, time_point at, time_point now)
{
    m_liveIsValid = m_liveIsValid && isAlive(peer, now);
    peer.receivedAt = std::max(peer.receivedAt, at);
}

bool membership::apply(const heartbeat &beat, time_point now)
{
    member &peer = peerOf(beat.name);
    const bool isOtherIncarnation = peer.lastHeartbeat.incarnation != beat.incarnation;
    if (beat.incarnation < peer.lastHeartbeat.incarnation) {
        return isOtherIncarnation;
    }
    m_liveIsValid = m_liveIsValid && !isOtherIncarnation
        && peer.lastHeartbeat.isShuttingDown == beat.isShuttingDown
        && peer.lastHeartbeat.rating == beat.rating;
    markHeard(peer, now, now);
    peer.lastHeartbeat = beat;
    peer.receivedAt = now;
    peer.firstHandAt = now;
    peer.stateAt = now;
    peer.heardAt = now;
    return isOtherIncarnation;
}

void membership::applyRelayed(const heartbeat &beat, time_point receivedAt, time_point now)
{
    if (beat.name == m_self) {
        return;
    }
    const auto known = m_peers.find(beat.name);
    if (known != m_peers.end()
        && (beat.incarnation < known->second.lastHeartbeat.incarnation
            || (beat.incarnation == known->second.lastHeartbeat.incarnation
                && receivedAt <= known->second.stateAt))) {
        return;
    }
    member &peer = peerOf(beat.name);
    m_liveIsValid = false;
    markHeard(peer, receivedAt, now);
    // Within one incarnation, a VM that shuts down never stops doing so.
    const bool isShuttingDown = beat.isShuttingDown
        || (peer.lastHeartbeat.isShuttingDown
            && peer.lastHeartbeat.incarnation == beat.incarnation);
    peer.lastHeartbeat = beat;
    peer.lastHeartbeat.isShuttingDown = isShuttingDown;
    peer.stateAt = receivedAt;
}

void membership::refresh(const vm_identity &identity, time_point heardAt, bool isFirstHand,
                         time_point now)
{
    const auto known = m_peers.find(identity.name);
    if (known != m_peers.end()) {
        refresh(known->second, identity, heardAt, isFirstHand, now);
    } else if (identity.name != m_self && now < heardAt + removalTimeout) {
        refresh(peerOf(identity.name), identity, heardAt, isFirstHand, now);
    }
}

void membership::refresh(member &peer, const vm_identity &identity, time_point heardAt,
                         bool isFirstHand, time_point now)
{
    heartbeat &state = peer.lastHeartbeat;
    if (identity.incarnation < state.incarnation) {
        return;
    }
    const bool isOtherIncarnation = identity.incarnation != state.incarnation;
    if (isFirstHand) {
        peer.firstHandAt = std::max(peer.firstHandAt, heardAt);
    }
    if (!isOtherIncarnation && heardAt <= peer.receivedAt) {
        return;
    }
    if (isOtherIncarnation) {
        std::string name = std::move(state.name);
        state = {};
        state.name = std::move(name);
        state.incarnation = identity.incarnation;
        peer.stateAt = time_point{};
    }
    const bool isShuttingDown = identity.isShuttingDown || state.isShuttingDown;
    m_liveIsValid = m_liveIsValid && !isOtherIncarnation && state.isShuttingDown == isShuttingDown
        && state.rating == identity.rating && state.ip == identity.ip
        && state.dataCenter == identity.dataCenter;
    state.ip = identity.ip;
    state.dataCenter = identity.dataCenter;
    state.rating = identity.rating;
    state.isShuttingDown = isShuttingDown;
    if (!identity.isCoordinator && heardAt > peer.stateAt) {
        state.coordinatorVersion = 0;
    }
    markHeard(peer, heardAt, now);
}

void membership::introduce(const vm_identity &identity, time_point now)
{
    if (m_peers.count(identity.name) == 0) {
        refresh(identity, now - aliveTimeout, false, now);
    }
}

void membership::expire(time_point now)
{
    for (auto it = m_peers.begin(); it != m_peers.end();) {
        const bool isExpired = now >= it->second.receivedAt + removalTimeout
            || (it->second.lastHeartbeat.isShuttingDown && !isAlive(it->second, now));
        m_liveIsValid = m_liveIsValid && !isExpired;
        m_revision += isExpired ? 1 : 0;
        it = isExpired ? m_peers.erase(it) : std::next(it);
    }
}

const membership::live_vms &membership::liveAt(time_point now) const
{
    if (m_liveIsValid && now >= m_live.builtAt && now < m_live.validUntil) {
        return m_live;
    }
    m_live = {};
    m_live.builtAt = now;
    m_live.validUntil = time_point::max();
    bool anySpareCpu = m_rating.hasSpareCpu();
    for (const auto &[name, peer] : m_peers) {
        if (!isAlive(peer, now)) {
            continue;
        }
        ++m_live.count;
        m_live.validUntil = std::min(m_live.validUntil, peer.receivedAt + aliveTimeout);
        if (!peer.lastHeartbeat.isShuttingDown) {
            anySpareCpu = anySpareCpu || peer.lastHeartbeat.rating.hasSpareCpu();
            m_live.candidates.push_back(&peer);
            m_live.candidatesByCenter[peer.lastHeartbeat.dataCenter].push_back(&peer);
        }
    }
    m_live.isSelfPreferred = m_rating.hasSpareCpu() || !anySpareCpu;
    for (const member *peer : m_live.candidates) {
        if (peer->lastHeartbeat.rating.hasSpareCpu() || !anySpareCpu) {
            m_live.preferred.push_back(peer);
        }
    }
    m_liveIsValid = true;
    return m_live;
}

const membership::member_list &membership::candidatesIn(std::string_view dc, time_point now) const
{
    static const member_list none;
    const live_vms &live = liveAt(now);
    const auto it = live.candidatesByCenter.find(dc);
    return it == live.candidatesByCenter.end() ? none : it->second;
}

double membership::reachableShare(time_point now) const
{
    return static_cast<double>(1 + liveAt(now).count) / static_cast<double>(knownCount());
}

std::set<std::string> membership::liveIps(time_point now) const
{
    std::set<std::string> ips;
    for (const member *peer : liveAt(now).candidates) {
        ips.insert(peer->lastHeartbeat.ip);
    }
    return ips;
}

std::vector<std::string> membership::otherCenters() const
{
    std::set<std::string> names;
    for (const auto &[name, peer] : m_peers) {
        if (peer.lastHeartbeat.dataCenter != m_dataCenter) {
            names.insert(peer.lastHeartbeat.dataCenter);
        }
    }
    return {names.begin(), names.end()};
}

member *membership::find(const std::string &name)
{
    const auto it = m_peers.find(name);
    return it == m_peers.end() ? nullptr : &it->second;
}

const std::string &membership::roleHolder(std::string_view role, time_point now) const
{
    const live_vms &live = liveAt(now);
    const std::uint64_t hash = keyHash(role);
    const std::string *best = nullptr;
    double bestScore = -1.0;
    const auto consider = [&](const std::string &name, std::uint64_t nameHash,
                              const capacity_rating &rating) {
        const double score = rendezvousScore(hash, nameHash, rating.weight);
        if (!best || bestScore < score) {
            best = &name;
            bestScore = score;
        }
    };
    if (live.isSelfPreferred) {
        consider(m_self, m_selfHash, m_rating);
    }
    for (const member *peer : live.preferred) {
        consider(peer->lastHeartbeat.name, peer->hash, peer->lastHeartbeat.rating);
    }
    return *best;
}

bool membership::higherClassAlive(time_point now) const
{
    const member_list &candidates = liveAt(now).candidates;
    return std::any_of(candidates.begin(), candidates.end(), [this](const member *peer) {
        return peer->lastHeartbeat.rating.roleClass > m_rating.roleClass;
    });
}

const std::string &membership::roleHolderIn(std::string_view dc, std::string_view role,
                                            time_point now) const
{
    return highestRanked(candidatesIn(dc, now), role, dc == m_dataCenter);
}

const member *membership::storeReader(std::string_view role, milliseconds maxSilence,
                                      milliseconds maxReadAge, time_point now) const
{
    const std::uint64_t hash = keyHash(role);
    const member *best = nullptr;
    for (const member *peer : candidatesIn(m_dataCenter, now)) {
        const time_point readAt = peer->stateAt - boundedAge(peer->lastHeartbeat.registryAgeMillis);
        if (peer->lastHeartbeat.readsStore && now < peer->stateAt + maxSilence
            && now < readAt + maxReadAge && (!best || rankOf(*best, hash) < rankOf(*peer, hash))) {
            best = peer;
        }
    }
    return best;
}

bool membership::ranksBefore(const member &peer, std::string_view role) const
{
    const std::uint64_t hash = keyHash(role);
    return rankOf(peer, hash) > rank(m_rating.roleClass, combineHash(hash, m_selfHash));
}

std::vector<const member *> membership::rankedIn(std::string_view dc, std::string_view role,
                                                 time_point now) const
{
    member_list result = candidatesIn(dc, now);
    sortByRank(result, role);
    return result;
}

std::vector<const member *> membership::knownIn(std::string_view dc, std::string_view role) const
{
    member_list result;
    for (const auto &[name, peer] : m_peers) {
        if (peer.lastHeartbeat.dataCenter == dc) {
            result.push_back(&peer);
        }
    }
    sortByRank(result, role);
    return result;
}

int membership::rankFor(std::string_view role, time_point now) const
{
    constexpr int maxRank = 8;
    return std::min(rankAmong(liveAt(now).candidates, role), maxRank);
}

int membership::rankWithin(std::string_view role, time_point now) const
{
    return rankAmong(candidatesIn(m_dataCenter, now), role);
}

int membership::rankAmong(const member_list &peers, std::string_view role) const
{
    const std::uint64_t hash = keyHash(role);
    const rank own(m_rating.roleClass, combineHash(hash, m_selfHash));
    return static_cast<int>(
        std::count_if(peers.begin(), peers.end(),
                      [&own, hash](const member *peer) { return rankOf(*peer, hash) > own; }));
}

const std::string &membership::highestRanked(const member_list &peers, std::string_view role,
                                             bool includeSelf) const
{
    const std::uint64_t hash = keyHash(role);
    const std::string *best = &m_self;
    rank bestRank =
        includeSelf ? rank(m_rating.roleClass, combineHash(hash, m_selfHash)) : rank(0, 0);
    for (const member *peer : peers) {
        const rank other = rankOf(*peer, hash);
        if (bestRank < other) {
            best = &peer->lastHeartbeat.name;
            bestRank = other;
        }
    }
    return *best;
}

} // namespace damaskward
