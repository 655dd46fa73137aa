#include "heartbeat_exchange.h"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace damaskward {
namespace {

/// A relay that has not sent an update for this long is replaced: two updates and a late third are
/// missing. The next relay reports all VMs before they could be taken for lost.
constexpr milliseconds relayTimeout{500};
/// How long a relay that did not answer is left out.
constexpr milliseconds relayAvoidTime{1000};
/// Intervals per digest to other data centres. With two senders, each relay there receives five
/// digests per second.
constexpr std::size_t intervalsPerDigest = 2;
/// Within this time after its start a VM asks its seeds repeatedly, since they may just have
/// started as well and know few VMs.
constexpr milliseconds startTime{2000};
constexpr std::size_t intervalsPerQuestion = 2;
/// The same for a VM that knows no other VM of its data centre, which may be the only one.
constexpr std::size_t intervalsPerLonelyQuestion = 10;
constexpr std::size_t maxAsked = 8;
/// VMs that are not alive and get a heartbeat all the same, in case they can be reached again.
constexpr std::size_t contactedPerInterval = 2;
constexpr std::size_t introducedPerCenter = 4;
/// Targets in one update with requests in flight, those with most requests first. Limits the size
/// of updates in a large data centre.
constexpr std::size_t maxReportedTargets = 128;
/// Heartbeats that one update passes on.
constexpr std::size_t maxRelayedHeartbeats = 8;
/// The requests in flight at other VMs are unknown after this time without an update.
constexpr milliseconds requestsLifetime{600};

/// Removes what only the VMs of the sender's own data centre use.
heartbeat forOtherCenters(heartbeat beat)
{
    beat.inFlight.clear();
    beat.readsStore = false;
    beat.drainedDataCenters.clear();
    return beat;
}

using request_counts = std::map<std::uint32_t, std::int32_t>;

void addTo(request_counts &counts, const std::vector<packed_requests> &list, int sign = 1)
{
    for (const packed_requests packed : list) {
        const target_requests requests = unpackRequests(packed);
        counts[requests.target] += sign * requests.count;
    }
}

std::vector<packed_requests> toList(const request_counts &counts)
{
    std::vector<target_requests> list;
    for (const auto &[target, count] : counts) {
        if (count > 0) {
            list.push_back({target, count});
        }
    }
    if (list.size() > maxReportedTargets) {
        const auto end = list.begin() + static_cast<std::ptrdiff_t>(maxReportedTargets);
        std::nth_element(
            list.begin(), end, list.end(),
            [](const target_requests &a, const target_requests &b) { return a.count > b.count; });
        list.erase(end, list.end());
    }
    std::vector<packed_requests> packed;
    std::transform(list.begin(), list.end(), std::back_inserter(packed), packRequests);
    return packed;
}

} // namespace

heartbeat_exchange::heartbeat_exchange(membership &members, std::vector<std::string> seedIps,
                                       state_source state, load_source loads, message_sender send)
    : m_members(members)
    , m_seedIps(std::move(seedIps))
    , m_state(std::move(state))
    , m_loads(std::move(loads))
    , m_send(std::move(send))
    , m_localRoster(members.dataCenter())
{ }

void heartbeat_exchange::tick(time_point now)
{
    if (m_startedAt == time_point{}) {
        m_startedAt = now;
    }
    ++m_turn;
    m_members.expire(now);
    for (auto it = m_copies.begin(); it != m_copies.end();) {
        it = m_members.members().count(it->first) == 0 ? m_copies.erase(it) : std::next(it);
    }
    sendHeartbeats(now);
    sendUpdates(now);
    // A VM that has just become a relay reports at once, since no other may have done so lately.
    if (m_turn % intervalsPerDigest == 0 || (isRelay(now) && !m_wasRelay)) {
        sendDigests(now);
    }
    m_wasRelay = isRelay(now);
    const bool isStarting = now < m_startedAt + startTime;
    const std::size_t pause = m_members.reachableCount(now) == 0 ? 1
        : isStarting                                             ? intervalsPerQuestion
        : knowsLiveNeighbour(now)                                ? 0
                                                                 : intervalsPerLonelyQuestion;
    if (pause != 0 && m_turn % pause == 0) {
        askForIntroduction(now);
    }
}

void heartbeat_exchange::sendHeartbeats(time_point now)
{
    heartbeat beat = m_state(now);
    m_sentRequests = beat.inFlight;
    const std::vector<const member *> relays = chooseRelays(now);
    m_firstRelay = relays.empty() ? std::string() : relays.front()->lastHeartbeat.name;
    std::vector<std::string> otherIps;
    for (std::size_t i = 1; i < relays.size(); ++i) {
        otherIps.push_back(relays[i]->lastHeartbeat.ip);
    }
    for (const member *peer : chooseLost(!relays.empty(), now)) {
        otherIps.push_back(peer->lastHeartbeat.ip);
    }
    if (!relays.empty()) {
        beat.wantsRequests = true;
        m_send({relays.front()->lastHeartbeat.ip}, beat);
        beat.wantsRequests = false;
    }
    if (!otherIps.empty()) {
        m_send(otherIps, beat);
    }
    if (beat.isShuttingDown || beat.coordinatorVersion != 0) {
        m_send(remoteRelayIps(now), forOtherCenters(std::move(beat)));
    }
}

/// \returns whether this VM is one of the relays of its data centre. VMs with a higher rank that do
/// not answer are left out, even before they count as lost.
bool heartbeat_exchange::isRelay(time_point now) const
{
    const std::vector<const member *> ranked =
        m_members.rankedIn(m_members.dataCenter(), relayRole, now);
    const auto higher = static_cast<std::size_t>(m_members.rankWithin(relayRole, now));
    std::size_t answering = 0;
    for (std::size_t i = 0; i < higher; ++i) {
        const auto known = m_relays.find(ranked[i]->lastHeartbeat.name);
        answering += known == m_relays.end() || now >= known->second.avoidUntil ? 1 : 0;
    }
    return answering < relayCount;
}

/// \returns the VMs to send heartbeats to, the one whose updates contain the requests in flight
/// first.
std::vector<const member *> heartbeat_exchange::chooseRelays(time_point now)
{
    const std::size_t wanted = isRelay(now) ? relayCount - 1 : relayCount;
    std::vector<const member *> chosen;
    std::map<std::string, relay> kept;
    for (const member *peer : m_members.rankedIn(m_members.dataCenter(), relayRole, now)) {
        const std::string &name = peer->lastHeartbeat.name;
        const auto known = m_relays.find(name);
        relay state = known == m_relays.end() ? relay{} : known->second;
        if (chosen.size() < wanted && now >= state.avoidUntil) {
            if (state.chosenAt == time_point{}) {
                state.chosenAt = now;
            }
            if (now < std::max(state.chosenAt, state.answeredAt) + relayTimeout) {
                chosen.push_back(peer);
                kept[name] = state;
                continue;
            }
            state.avoidUntil = now + relayAvoidTime;
            state.chosenAt = time_point{};
        }
        if (now < state.avoidUntil) {
            kept[name] = state;
        }
    }
    m_relays = std::move(kept);
    return chosen;
}

/// \returns VMs of this data centre that are known but not alive, other ones at every call. A relay
/// contacts them, because two groups of VMs that do not hear each other may each have relays: after
/// a network partition, or after a start in which the VMs were introduced to different ones. A VM
/// without a relay contacts them to find one.
std::vector<const member *> heartbeat_exchange::chooseLost(bool hasRelay, time_point now) const
{
    std::vector<const member *> lost;
    if (hasRelay && !isRelay(now)) {
        return lost;
    }
    const std::vector<const member *> known = m_members.knownIn(m_members.dataCenter(), relayRole);
    for (std::size_t i = 0; i < known.size() && lost.size() < contactedPerInterval; ++i) {
        const member *peer = known[(contactedPerInterval * m_turn + i) % known.size()];
        if (!membership::isAlive(*peer, now) || !hasRelay) {
            lost.push_back(peer);
        }
    }
    return lost;
}

/// \returns the addresses of the relays of data centre \a dc. If none of its VMs is alive, all
/// known ones are tried in rotation.
std::vector<std::string> heartbeat_exchange::relayIpsOf(const std::string &dc, time_point now) const
{
    std::vector<std::string> ips;
    for (const member *peer : m_members.rankedIn(dc, relayRole, now)) {
        if (ips.size() < relayCount) {
            ips.push_back(peer->lastHeartbeat.ip);
        }
    }
    if (ips.empty()) {
        const std::vector<const member *> known = m_members.knownIn(dc, relayRole);
        if (!known.empty()) {
            ips.push_back(known[m_turn % known.size()]->lastHeartbeat.ip);
        }
    }
    return ips;
}

std::vector<std::string> heartbeat_exchange::remoteRelayIps(time_point now) const
{
    std::vector<std::string> ips;
    for (const std::string &dc : m_members.otherCenters()) {
        const std::vector<std::string> relays = relayIpsOf(dc, now);
        ips.insert(ips.end(), relays.begin(), relays.end());
    }
    return ips;
}

void heartbeat_exchange::sendUpdates(time_point now)
{
    std::map<std::pair<std::uint64_t, bool>, std::vector<std::string>> groups;
    for (auto it = m_recipients.begin(); it != m_recipients.end();) {
        if (now >= it->second.heardAt + membership::aliveTimeout) {
            it = m_recipients.erase(it);
            continue;
        }
        groups[{it->second.version, it->second.wantsRequests}].push_back(it->second.ip);
        ++it;
    }
    if (groups.empty()) {
        return;
    }
    m_fleetRoster.refresh(m_members, now);
    for (const auto &[group, ips] : groups) {
        m_send(ips, localUpdate(group.first, group.second, now));
    }
}

void heartbeat_exchange::sendUpdateTo(const recipient &to, time_point now)
{
    m_fleetRoster.refresh(m_members, now);
    m_send({to.ip}, localUpdate(to.version, to.wantsRequests, now));
}

member_update heartbeat_exchange::localUpdate(std::uint64_t base, bool withRequests,
                                              time_point now) const
{
    member_update update;
    update.sender = m_state(now);
    m_fleetRoster.addTo(update, base);
    for (const auto &[name, peer] : m_members.members()) {
        const heartbeat &beat = peer.lastHeartbeat;
        if ((beat.readsStore || beat.coordinatorVersion != 0)
            && now < peer.heardAt + membership::aliveTimeout
            && update.relayed.size() < maxRelayedHeartbeats) {
            update.relayed.push_back({beat, toMillis(now - peer.heardAt)});
        }
    }
    if (withRequests) {
        std::map<std::uint32_t, std::int32_t> counts = heardRequests(now);
        addTo(counts, update.sender.inFlight);
        update.inFlight = toList(counts);
        for (center_state &center : update.centers) {
            const auto loads = m_centerLoads.find(center.name);
            if (loads != m_centerLoads.end()) {
                center.loads = loads->second;
            }
        }
    }
    update.sender.inFlight.clear();
    return update;
}

/// Sends what this VM knows of its data centre to the relays of the others, if it is a relay.
void heartbeat_exchange::sendDigests(time_point now)
{
    if (!isRelay(now)) {
        return;
    }
    std::vector<std::string> ips = remoteRelayIps(now);
    // VMs that send digests are relays, although they may not be the highest-ranked ones.
    for (auto it = m_remoteRelays.begin(); it != m_remoteRelays.end();) {
        const bool isRecent = now < it->second.heardAt + membership::aliveTimeout;
        const bool isListed = std::find(ips.begin(), ips.end(), it->first) != ips.end();
        if (isRecent && !isListed) {
            ips.push_back(it->first);
        }
        it = isRecent || isListed ? std::next(it) : m_remoteRelays.erase(it);
    }
    sendDigestsTo(ips, now);
}

void heartbeat_exchange::sendDigestsTo(const std::vector<std::string> &ips, time_point now)
{
    std::map<std::uint64_t, std::vector<std::string>> groups;
    for (const std::string &ip : ips) {
        groups[m_remoteRelays[ip].version].push_back(ip);
    }
    if (groups.empty()) {
        return;
    }
    m_localRoster.refresh(m_members, now);
    member_update update;
    update.sender = forOtherCenters(m_state(now));
    for (const auto &[base, recipients] : groups) {
        m_localRoster.addTo(update, base);
        for (center_state &center : update.centers) {
            center.loads = m_loads(now);
        }
        m_send(recipients, update);
    }
}

void heartbeat_exchange::setSeeds(std::vector<std::string> ips, time_point now)
{
    if (!ips.empty()) {
        m_seedIps = std::move(ips);
        askForIntroduction(now);
    }
}

/// Asks seeds for an introduction. Soon after the start, also those that are known to be alive.
void heartbeat_exchange::askForIntroduction(time_point now)
{
    const std::set<std::string> alive = m_members.liveIps(now);
    heartbeat beat = forOtherCenters(m_state(now));
    beat.wantsIntroduction = true;
    std::vector<std::string> asked;
    const bool isStarting = now < m_startedAt + startTime;
    for (std::size_t i = 0; i < m_seedIps.size() && asked.size() < maxAsked; ++i) {
        const std::string &ip = m_seedIps[(m_turn + i) % m_seedIps.size()];
        if (ip != beat.ip && (isStarting || alive.count(ip) == 0)) {
            asked.push_back(ip);
        }
    }
    m_send(asked, beat);
}

bool heartbeat_exchange::handle(const heartbeat &beat, const std::string &fromIp, time_point now)
{
    if (beat.name == m_members.self()) {
        return false;
    }
    heartbeat state = beat;
    state.inFlight.clear();
    const bool isOtherIncarnation = m_members.apply(state, now);
    if (beat.wantsIntroduction) {
        // The sender may know only this VM.
        sendIntroduction(fromIp, now);
    } else if (beat.dataCenter == m_members.dataCenter()) {
        recipient &to = m_recipients[beat.name];
        const bool isNew =
            to.incarnation != beat.incarnation || now >= to.heardAt + membership::aliveTimeout;
        if (to.incarnation != beat.incarnation) {
            to.version = 0;
        }
        to.ip = fromIp;
        to.incarnation = beat.incarnation;
        to.wantsRequests = beat.wantsRequests;
        to.inFlight = beat.inFlight;
        to.heardAt = now;
        if (isNew) {
            sendUpdateTo(to, now); // It may have lost another relay.
        }
    }
    return isOtherIncarnation;
}

void heartbeat_exchange::handle(const member_update &update, const std::string &fromIp,
                                time_point now)
{
    const heartbeat &sender = update.sender;
    if (sender.name == m_members.self()) {
        return;
    }
    m_members.apply(sender, now);
    if (update.isIntroduction) {
        for (const roster_entry &entry : update.changed) {
            m_members.introduce(entry.identity, now);
        }
        return;
    }
    const bool isRemote = sender.dataCenter != m_members.dataCenter();
    roster_copy &copy = m_copies[sender.name];
    if (copy.apply(update)) {
        copy.refresh(m_members, update, isRemote, now);
    }
    if (const std::uint64_t version = copy.versionOf(sender.incarnation);
        version != update.rosterBase) {
        m_send({fromIp}, roster_ack{m_members.self(), version});
    }
    for (const relayed_heartbeat &relayed : update.relayed) {
        m_members.applyRelayed(relayed.beat, now - boundedAge(relayed.ageMillis), now);
    }
    if (isRemote) {
        for (const center_state &center : update.centers) {
            m_centerLoads[center.name] = center.loads;
        }
        remote_relay &remote = m_remoteRelays[fromIp];
        const bool isNew = now >= remote.heardAt + membership::aliveTimeout;
        remote.heardAt = now;
        if (isNew && isRelay(now)) {
            sendDigestsTo({fromIp}, now);
        }
        return;
    }
    if (const auto known = m_relays.find(sender.name); known != m_relays.end()) {
        known->second.answeredAt = now;
    }
    if (sender.name == m_firstRelay) {
        m_relayedRequests = update.inFlight;
        m_relayedRequestsAt = now;
    }
}

void heartbeat_exchange::handle(const roster_ack &ack, const std::string &fromIp)
{
    if (const auto to = m_recipients.find(ack.from); to != m_recipients.end()) {
        to->second.version = ack.version;
    } else if (const auto remote = m_remoteRelays.find(fromIp); remote != m_remoteRelays.end()) {
        remote->second.version = ack.version;
    }
}

void heartbeat_exchange::sendIntroduction(const std::string &ip, time_point now)
{
    member_update update;
    update.sender = forOtherCenters(m_state(now));
    update.isIntroduction = true;
    std::vector<std::string> centers = m_members.otherCenters();
    centers.push_back(m_members.dataCenter());
    for (const std::string &dc : centers) {
        const std::vector<const member *> ranked = m_members.rankedIn(dc, relayRole, now);
        for (std::size_t i = 0; i < std::min(ranked.size(), introducedPerCenter); ++i) {
            update.changed.push_back({0, false, identityOf(ranked[i]->lastHeartbeat)});
        }
    }
    m_send({ip}, update);
}

bool heartbeat_exchange::knowsLiveNeighbour(time_point now) const
{
    return !m_members.rankedIn(m_members.dataCenter(), relayRole, now).empty();
}

/// \returns by target the unanswered requests of the VMs that send this VM heartbeats.
std::map<std::uint32_t, std::int32_t> heartbeat_exchange::heardRequests(time_point now) const
{
    std::map<std::uint32_t, std::int32_t> counts;
    for (const auto &[name, from] : m_recipients) {
        if (now < from.heardAt + membership::aliveTimeout) {
            addTo(counts, from.inFlight);
        }
    }
    return counts;
}

std::map<std::uint32_t, std::int32_t> heartbeat_exchange::requestsElsewhere(time_point now) const
{
    if (isRelay(now) || now >= m_relayedRequestsAt + requestsLifetime) {
        return heardRequests(now);
    }
    std::map<std::uint32_t, std::int32_t> counts;
    addTo(counts, m_relayedRequests);
    addTo(counts, m_sentRequests, -1);
    return counts;
}

} // namespace damaskward
