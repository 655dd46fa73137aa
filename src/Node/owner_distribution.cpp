#include "owner_distribution.h"

#include <algorithm>
#include <set>
#include <utility>

namespace damaskward {

owner_distribution::owner_distribution(const membership &members, std::string readerRole,
                                       message_sender send, owners_setter setOwners,
                                       shares_setter setShares)
    : m_members(members)
    , m_readerRole(std::move(readerRole))
    , m_send(std::move(send))
    , m_setOwners(std::move(setOwners))
    , m_setShares(std::move(setShares))
{ }

bool owner_distribution::isStoreReader(time_point now) const
{
    return m_members.roleHolderIn(m_members.dataCenter(), m_readerRole, now) == m_members.self();
}

std::vector<std::string> owner_distribution::localIps() const
{
    std::vector<std::string> ips;
    for (const auto &[name, peer] : m_members.members()) {
        if (peer.lastHeartbeat.dataCenter == m_members.dataCenter()) {
            ips.push_back(peer.lastHeartbeat.ip);
        }
    }
    return ips;
}

/// \returns all VMs of this data centre, and the store reader of each other one.
std::vector<std::string> owner_distribution::recipients(time_point now) const
{
    std::vector<std::string> ips = localIps();
    for (const std::string &dc : m_members.otherCenters()) {
        const auto reader = m_members.members().find(m_members.roleHolderIn(dc, m_readerRole, now));
        if (reader != m_members.members().end()) {
            ips.push_back(reader->second.lastHeartbeat.ip);
        }
    }
    return ips;
}

/// Sends the owners of all keys, in parts if they exceed one message.
void owner_distribution::sendAll(const std::vector<std::string> &ips) const
{
    if (rangeCount(m_owners.rangeMaps) <= maxRangesPerMessage) {
        m_send(ips, encodeMessage(m_owners));
        return;
    }
    for (const owner_part &part : partsOf(m_owners, maxRangesPerMessage)) {
        m_send(ips, encodeMessage(part));
    }
}

/// Sends the changes, or the owners of all keys if that is about as short.
void owner_distribution::sendChanges(const std::vector<std::string> &ips,
                                     const owner_delta &delta) const
{
    const std::size_t changed = rangeCount(delta.changed);
    if (delta.base != 0 && changed <= maxRangesPerMessage
        && 2 * changed <= rangeCount(m_owners.rangeMaps)) {
        m_send(ips, encodeMessage(delta));
    } else {
        sendAll(ips);
    }
}

void owner_distribution::publish(const owner_update &update, time_point now)
{
    if (update.version <= m_owners.version) {
        return;
    }
    const bool isBehind = m_newestVersion > m_owners.version;
    const owner_delta delta = changesBetween(m_owners, update);
    applyChanges(delta);
    // The other VMs have a later version than this one had, so changes to its version are of no use
    // to them.
    if (isBehind) {
        sendAll(recipients(now));
    } else {
        sendChanges(recipients(now), delta);
    }
}

void owner_distribution::handle(const owner_update &update, time_point now)
{
    m_newestVersion = std::max(m_newestVersion, update.version);
    if (update.version <= m_owners.version) {
        return;
    }
    owner_delta delta = changesBetween(m_owners, update);
    replaceOwners(update);
    if (isStoreReader(now)) {
        sendChanges(localIps(), delta);
    }
    remember(std::move(delta));
}

void owner_distribution::handle(const owner_part &part, time_point now)
{
    if (part.version <= m_owners.version) {
        return;
    }
    if (const auto update = m_assembly.add(part)) {
        handle(*update, now);
    }
}

void owner_distribution::handle(const owner_delta &delta, const std::string &fromIp, time_point now)
{
    m_newestVersion = std::max(m_newestVersion, delta.version);
    if (delta.version <= m_owners.version) {
        return;
    }
    if (delta.base != m_owners.version) {
        query(fromIp, now);
        return;
    }
    applyChanges(delta);
    if (isStoreReader(now)) {
        m_send(localIps(), encodeMessage(delta));
    }
}

void owner_distribution::replaceOwners(const owner_update &update)
{
    m_owners = update;
    for (const auto &[service, map] : m_owners.rangeMaps) {
        m_setOwners(service, map);
    }
}

void owner_distribution::applyChanges(const owner_delta &delta)
{
    applyDelta(m_owners, delta);
    m_newestVersion = std::max(m_newestVersion, m_owners.version);
    for (const auto &[service, changed] : delta.changed) {
        m_setOwners(service, m_owners.rangeMaps[service]);
    }
    remember(delta);
}

void owner_distribution::remember(owner_delta delta)
{
    m_history.push_back(std::move(delta));
    if (m_history.size() > maxHistory) {
        m_history.pop_front();
    }
}

void owner_distribution::handle(const owner_query &query, const std::string &fromIp)
{
    if (query.version >= m_owners.version) {
        return;
    }
    const auto first =
        std::find_if(m_history.begin(), m_history.end(),
                     [&query](const owner_delta &delta) { return delta.base == query.version; });
    if (query.version == 0 || first == m_history.end()) {
        sendAll({fromIp});
        return;
    }
    owner_delta delta = *first;
    for (auto next = first + 1; next != m_history.end(); ++next) {
        extendDelta(delta, *next);
    }
    sendChanges({fromIp}, delta);
}

void owner_distribution::noteVersions(const heartbeat &beat)
{
    m_newestVersion = std::max({m_newestVersion, beat.mapVersion, beat.newestMapVersion});
}

void owner_distribution::queryIfNewer(const heartbeat &beat, const std::string &fromIp,
                                      time_point now)
{
    // Changes cross to another data centre only once: its store reader queries them, and the other
    // VMs query a VM of their own data centre.
    const bool isLocal = beat.dataCenter == m_members.dataCenter();
    if (beat.mapVersion > m_owners.version && (isLocal || isStoreReader(now))) {
        query(fromIp, now);
    }
}

void owner_distribution::query(const std::string &ip, time_point now)
{
    if (now >= m_nextQueryAt) {
        m_nextQueryAt = now + queryInterval;
        m_send({ip}, encodeMessage(owner_query{m_members.self(), m_owners.version}));
    }
}

void owner_distribution::publish(const owner_shares &shares, time_point now)
{
    if (const auto message = m_shares.next(shares, now)) {
        m_setShares(m_shares.state(), now + share_updates::lifetime);
        m_send(recipients(now), encodeMessage(*message));
    }
}

void owner_distribution::handle(const owner_shares &shares, time_point now)
{
    if (!m_shares.apply(shares)) {
        return;
    }
    m_setShares(m_shares.state(), now + share_updates::lifetime);
    if (isStoreReader(now)) {
        m_send(localIps(), encodeMessage(shares));
    }
}

} // namespace damaskward
