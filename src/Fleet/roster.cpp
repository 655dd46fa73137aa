#include "roster.h"

#include <algorithm>
#include <utility>

namespace damaskward {

vm_identity identityOf(const heartbeat &beat)
{
    return {beat.name,
            beat.dataCenter,
            beat.ip,
            beat.incarnation,
            beat.rating,
            beat.isShuttingDown,
            beat.coordinatorVersion != 0};
}

namespace {

bool differs(const vm_identity &a, const heartbeat &b)
{
    return a.incarnation != b.incarnation || a.ip != b.ip || a.dataCenter != b.dataCenter
        || a.rating != b.rating || a.isShuttingDown != b.isShuttingDown
        || a.isCoordinator != (b.coordinatorVersion != 0);
}

} // namespace

void roster::apply(const member &peer)
{
    listed_vm &vm = m_vms[peer.lastHeartbeat.name];
    vm.isSeen = true;
    const bool isNew = vm.entry.id == 0 || vm.entry.isRemoved;
    if (vm.entry.id == 0) {
        vm.entry.id = ++m_lastId;
    }
    vm.entry.isRemoved = false;
    if (isNew || differs(vm.entry.identity, peer.lastHeartbeat)) {
        vm.entry.identity = identityOf(peer.lastHeartbeat);
        vm.changedIn = ++m_version;
    }
}

void roster::refresh(const membership &members, time_point now)
{
    std::map<std::string, time_point> newest;
    for (auto &[name, vm] : m_vms) {
        vm.isSeen = false;
    }
    for (const auto &[name, peer] : members.members()) {
        if (m_dataCenter && peer.lastHeartbeat.dataCenter != *m_dataCenter) {
            continue;
        }
        apply(peer);
        time_point &at = newest[peer.lastHeartbeat.dataCenter];
        at = std::max(at, peer.firstHandAt);
    }
    // This VM itself is alive, so its data centre has been heard from just now.
    newest[members.dataCenter()] = now;
    m_silent.clear();
    for (auto &[name, vm] : m_vms) {
        if (!vm.isSeen && !vm.entry.isRemoved) {
            vm.entry.isRemoved = true;
            vm.entry.identity = {};
            vm.changedIn = ++m_version;
        }
        if (vm.isSeen) {
            const member &peer = members.members().at(name);
            if (peer.firstHandAt + silentAfter < newest[peer.lastHeartbeat.dataCenter]) {
                m_silent.push_back(
                    {vm.entry.id, toMillis(boundedAge(toMillis(now - peer.firstHandAt)))});
            }
        }
    }
    m_centers.clear();
    for (const auto &[name, at] : newest) {
        m_centers.push_back({name, toMillis(boundedAge(toMillis(now - at))), {}});
    }
}

void roster::addTo(member_update &update, std::uint64_t base) const
{
    update.silent = m_silent;
    update.centers = m_centers;
    update.rosterBase = base <= m_version ? base : 0;
    std::vector<const listed_vm *> changed;
    for (const auto &[name, vm] : m_vms) {
        if (vm.changedIn > update.rosterBase && !(update.rosterBase == 0 && vm.entry.isRemoved)) {
            changed.push_back(&vm);
        }
    }
    const std::size_t count = std::min(changed.size(), maxChanges);
    std::partial_sort(
        changed.begin(), changed.begin() + static_cast<std::ptrdiff_t>(count), changed.end(),
        [](const listed_vm *a, const listed_vm *b) { return a->changedIn < b->changedIn; });
    update.rosterVersion = count < changed.size() ? changed[count - 1]->changedIn : m_version;
    update.changed.clear();
    for (std::size_t i = 0; i < count; ++i) {
        update.changed.push_back(changed[i]->entry);
    }
}

bool roster_copy::apply(const member_update &update)
{
    if (update.sender.incarnation < m_incarnation) {
        return false;
    }
    const bool isNewRoster = update.sender.incarnation > m_incarnation;
    if (update.rosterBase != 0 && (isNewRoster || update.rosterBase > m_version)) {
        return false;
    }
    if (update.rosterVersion < m_version && !isNewRoster) {
        return true; // A late datagram.
    }
    if (update.rosterBase == 0) {
        m_vms.clear(); // A complete list does not mention removed VMs.
    }
    m_incarnation = update.sender.incarnation;
    m_version = update.rosterVersion;
    m_revision = update.changed.empty() ? m_revision : 0;
    for (const roster_entry &entry : update.changed) {
        if (entry.isRemoved) {
            m_vms.erase(entry.id);
        } else {
            m_vms[entry.id] = {entry.identity, nullptr, centerIndex(entry.identity.dataCenter)};
        }
    }
    return true;
}

std::size_t roster_copy::centerIndex(const std::string &name)
{
    const auto it = std::find(m_centers.begin(), m_centers.end(), name);
    if (it == m_centers.end()) {
        m_centers.push_back(name);
        return m_centers.size() - 1;
    }
    return static_cast<std::size_t>(it - m_centers.begin());
}

void roster_copy::findPeers(membership &members)
{
    if (m_revision == members.revision()) {
        return;
    }
    for (auto &[id, vm] : m_vms) {
        vm.peer = members.find(vm.identity.name);
    }
    m_revision = members.revision();
}

void roster_copy::refresh(membership &members, const member_update &update, bool isFirstHand,
                          time_point now)
{
    std::map<std::uint32_t, time_point> silent;
    for (const silent_vm &vm : update.silent) {
        silent[vm.id] = now - boundedAge(vm.ageMillis);
    }
    std::vector<std::optional<time_point>> centers(m_centers.size());
    for (const center_state &center : update.centers) {
        const auto it = std::find(m_centers.begin(), m_centers.end(), center.name);
        if (it != m_centers.end()) {
            centers[static_cast<std::size_t>(it - m_centers.begin())] =
                now - boundedAge(center.ageMillis) - usualAge;
        }
    }
    findPeers(members);
    auto nextSilent = silent.begin();
    std::vector<std::pair<const vm_identity *, time_point>> unknown;
    for (auto &[id, vm] : m_vms) {
        while (nextSilent != silent.end() && nextSilent->first < id) {
            ++nextSilent;
        }
        const bool isSilent = nextSilent != silent.end() && nextSilent->first == id;
        const std::optional<time_point> heardAt =
            isSilent ? std::optional(nextSilent->second) : centers[vm.center];
        if (!heardAt) {
            continue;
        }
        if (vm.peer) {
            members.refresh(*vm.peer, vm.identity, *heardAt, isFirstHand, now);
        } else {
            unknown.emplace_back(&vm.identity, *heardAt);
        }
    }
    for (const auto &[identity, heardAt] : unknown) { // These change the revision.
        members.refresh(*identity, heardAt, isFirstHand, now);
    }
}

} // namespace damaskward
