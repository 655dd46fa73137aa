#include "role_keeper.h"

namespace damaskward {
namespace internal {

constexpr std::size_t maxRolesPerTransaction = 64;
/// A role stays with its holder for this long after another VM has become its place, so that a
/// VM that comes and goes does not drag roles along.
constexpr milliseconds handoverDelay{2000};

} // namespace internal

role_keeper::role_keeper(const ownership_config &config, platform_route &route)
    : m_config(config)
    , m_route(route)
    , m_lane(route)
{ }

std::vector<std::string> role_keeper::wantedRoles(const rule_set &rules) const
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

std::vector<place> role_keeper::livePlaces(const table_mirror &mirror, bool withoutSelf) const
{
    std::vector<place> places;
    for (const auto &[vm, seen] : mirror.sessions()) {
        const bool live = seen.row.dataCenter == m_config.dataCenter
            && seen.row.state == session_state::Live && !(withoutSelf && vm == m_config.self);
        if (live) {
            places.emplace_back(vm.str());
        }
    }
    return places;
}

void role_keeper::claim(const std::string &rowName, const seen_row<role_row> *seen,
                        const table_mirror &mirror, std::uint64_t ownTerm,
                        table_transaction &transaction)
{
    role_row row;
    row.vm = m_config.self;
    row.sessionTerm = ownTerm;
    row.term = 1;
    if (seen != nullptr) {
        row.term = seen->row.term + 1;
        row.status = seen->row.status;
        const seen_row<session_row> *former = mirror.session(seen->row.vm);
        const bool lapsed = former != nullptr && former->row.state == session_state::Lapsed
            && former->row.term == seen->row.sessionTerm;
        if (lapsed) {
            m_fromLapsed[rowName] = row.term;
        }
    }
    transaction.replace(rowName, seen == nullptr ? 0 : seen->version, encode(row));
}

void role_keeper::considerRole(const std::string &rowName, const table_mirror &mirror,
                               const std::vector<place> &places, std::uint64_t ownTerm,
                               bool stopping, time_point now, table_transaction &transaction)
{
    const std::size_t best = rendezvousBest(keyHash(rowName), places);
    if (best == places.size()) {
        return;
    }
    const vm_id wanted(places[best].name);
    const seen_row<role_row> *seen = mirror.role(rowName);
    const bool held = seen != nullptr && mirror.isLive(seen->row.vm, seen->row.sessionTerm);
    if (!held) {
        if (wanted == m_config.self && !stopping) {
            claim(rowName, seen, mirror, ownTerm, transaction);
        }
        return;
    }
    if (!isMine(seen->row, ownTerm)) {
        return;
    }
    if (isHandingOver(rowName)) {
        // Its outcome is unknown. Replace the row once more, even if this VM is its place again.
        handOver(rowName, *seen, wanted, mirror, transaction);
        return;
    }
    if (wanted == m_config.self) {
        m_misplacedSince.erase(rowName);
        return;
    }
    const time_point since = m_misplacedSince.emplace(rowName, now).first->second;
    if (stopping || now >= since + internal::handoverDelay) {
        handOver(rowName, *seen, wanted, mirror, transaction);
    }
}

void role_keeper::handOver(const std::string &rowName, const seen_row<role_row> &seen,
                           const vm_id &to, const table_mirror &mirror,
                           table_transaction &transaction)
{
    role_row row = seen.row;
    row.vm = to;
    row.sessionTerm = mirror.session(to)->row.term;
    ++row.term;
    m_handing[rowName] = seen.version;
    transaction.replace(rowName, seen.version, encode(row));
}

void role_keeper::forgetSettledHandovers(const table_mirror &mirror)
{
    for (auto it = m_handing.begin(); it != m_handing.end();) {
        const seen_row<role_row> *seen = mirror.role(it->first);
        const bool settled = seen == nullptr || seen->version > it->second;
        it = settled ? m_handing.erase(it) : std::next(it);
    }
}

void role_keeper::step(const table_mirror &mirror, const rule_set &rules, std::uint64_t ownTerm,
                       bool stopping, operation_id &nextId, time_point now, action_list &actions)
{
    m_lane.expire(now);
    forgetSettledHandovers(mirror);
    if (!m_lane.idle() || !m_route.reaches(now)) {
        return;
    }
    const std::vector<place> places = livePlaces(mirror, stopping);
    table_transaction transaction;
    for (const std::string &rowName : wantedRoles(rules)) {
        if (transaction.puts.size() < internal::maxRolesPerTransaction) {
            considerRole(rowName, mirror, places, ownTerm, stopping, now, transaction);
        }
    }
    if (transaction.empty()) {
        return;
    }
    m_lane.start(std::move(transaction), ++nextId, now, actions);
}

bool role_keeper::takenFromLapsed(const std::string &rowName, std::uint64_t term) const
{
    const auto claimed = m_fromLapsed.find(rowName);
    return claimed != m_fromLapsed.end() && claimed->second == term;
}

bool role_keeper::holdsNothing(const table_mirror &mirror, std::uint64_t ownTerm) const
{
    for (const auto &[name, seen] : mirror.roles()) {
        if (isMine(seen.row, ownTerm)) {
            return false;
        }
    }
    return m_lane.idle();
}

} // namespace damaskward
