#include "role_manager.h"

namespace damaskward {
namespace internal {

constexpr std::size_t maxRolesPerTransaction = 64;
/// How long a role stays with its holder after the hash has assigned it to another VM, so
/// that roles do not move each time a VM repeatedly joins and leaves.
constexpr milliseconds handoverDelay{2000};

} // namespace internal

role_manager::role_manager(const ownership_config &config, platform_route &route)
    : m_config(config)
    , m_route(route)
    , m_slot(route)
{ }

std::vector<std::string> role_manager::rolesOfDataCenter(const rule_set &rules) const
{
    std::vector<std::string> roles;
    for (const auto &[target, rule] : rules.targets) {
        if (rule.dataCenter == m_config.dataCenter) {
            roles.push_back(roleName(m_config.dataCenter, gateRole(target)));
        }
    }
    for (const auto &[team, rule] : rules.teams) {
        if (rule.rate > 0.0) {
            roles.push_back(roleName(m_config.dataCenter, bankRole(team)));
        }
    }
    return roles;
}

std::vector<place> role_manager::liveCandidates(const table_replica &replica,
                                                bool withoutSelf) const
{
    std::vector<place> candidates;
    for (const auto &[vm, seen] : replica.sessions()) {
        const bool isCandidate = seen.row.dataCenter == m_config.dataCenter
            && seen.row.state == session_state::Live && !(withoutSelf && vm == m_config.self);
        if (isCandidate) {
            candidates.emplace_back(vm.str());
        }
    }
    return candidates;
}

void role_manager::addClaim(const std::string &rowName, const seen_row<role_row> *seen,
                            const table_replica &replica, std::uint64_t ownTerm,
                            table_transaction &transaction)
{
    role_row row;
    row.vm = m_config.self;
    row.sessionTerm = ownTerm;
    row.term = 1;
    if (seen != nullptr) {
        row.term = seen->row.term + 1;
        row.status = seen->row.status;
        const seen_row<session_row> *previousSession = replica.session(seen->row.vm);
        const bool isExpired = previousSession != nullptr
            && previousSession->row.state == session_state::Lapsed
            && previousSession->row.term == seen->row.sessionTerm;
        if (isExpired) {
            m_claimsFromExpired[rowName] = row.term;
        }
    }
    transaction.replace(rowName, seen == nullptr ? 0 : seen->version, encode(row));
}

void role_manager::addRoleChange(const std::string &rowName, const table_replica &replica,
                                 const std::vector<place> &candidates, std::uint64_t ownTerm,
                                 bool stopping, time_point now, table_transaction &transaction)
{
    const std::size_t best = rendezvousBest(keyHash(rowName), candidates);
    if (best == candidates.size()) {
        return;
    }
    const vm_id assigned(candidates[best].name);
    const seen_row<role_row> *seen = replica.role(rowName);
    const bool isHeld = seen != nullptr && replica.isLive(seen->row.vm, seen->row.sessionTerm);
    if (!isHeld) {
        if (assigned == m_config.self && !stopping) {
            addClaim(rowName, seen, replica, ownTerm, transaction);
        }
        return;
    }
    if (!isMine(seen->row, ownTerm)) {
        return;
    }
    if (isHandingOver(rowName)) {
        // The outcome of the handover is unknown, so the role must not be kept, even if the hash
        // assigns it to this VM again: replace the row once more.
        addHandover(rowName, *seen, assigned, replica, transaction);
        return;
    }
    if (assigned == m_config.self) {
        m_misplacedSince.erase(rowName);
        return;
    }
    const time_point since = m_misplacedSince.emplace(rowName, now).first->second;
    if (stopping || now >= since + internal::handoverDelay) {
        addHandover(rowName, *seen, assigned, replica, transaction);
    }
}

void role_manager::addHandover(const std::string &rowName, const seen_row<role_row> &seen,
                               const vm_id &to, const table_replica &replica,
                               table_transaction &transaction)
{
    role_row row = seen.row;
    row.vm = to;
    row.sessionTerm = replica.session(to)->row.term;
    ++row.term;
    m_pendingHandovers[rowName] = seen.version;
    transaction.replace(rowName, seen.version, encode(row));
}

void role_manager::eraseResolvedHandovers(const table_replica &replica)
{
    for (auto it = m_pendingHandovers.begin(); it != m_pendingHandovers.end();) {
        const seen_row<role_row> *seen = replica.role(it->first);
        const bool isResolved = seen == nullptr || seen->version > it->second;
        it = isResolved ? m_pendingHandovers.erase(it) : std::next(it);
    }
}

void role_manager::step(const table_replica &replica, const rule_set &rules, std::uint64_t ownTerm,
                        bool stopping, operation_id &nextId, time_point now, action_list &actions)
{
    m_slot.takeTimedOut(now);
    eraseResolvedHandovers(replica);
    if (!m_slot.isIdle() || !m_route.isReachable(now)) {
        return;
    }
    const std::vector<place> candidates = liveCandidates(replica, stopping);
    table_transaction transaction;
    for (const std::string &rowName : rolesOfDataCenter(rules)) {
        if (transaction.puts.size() < internal::maxRolesPerTransaction) {
            addRoleChange(rowName, replica, candidates, ownTerm, stopping, now, transaction);
        }
    }
    if (transaction.empty()) {
        return;
    }
    m_slot.start(std::move(transaction), ++nextId, now, actions);
}

bool role_manager::takenFromLapsed(const std::string &rowName, std::uint64_t term) const
{
    const auto claimed = m_claimsFromExpired.find(rowName);
    return claimed != m_claimsFromExpired.end() && claimed->second == term;
}

bool role_manager::holdsNoRole(const table_replica &replica, std::uint64_t ownTerm) const
{
    for (const auto &[name, seen] : replica.roles()) {
        if (isMine(seen.row, ownTerm)) {
            return false;
        }
    }
    return m_slot.isIdle();
}

} // namespace damaskward
