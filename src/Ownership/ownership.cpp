#include "ownership.h"

namespace damaskward {
namespace internal {

/// A table read without an answer counts as failed after this time.
constexpr milliseconds readTimeout{400};
/// The platform counts as unreachable after this many read periods without an answer.
constexpr int unreachableAfterReads = 3;
/// How long a VM that is shutting down waits for other VMs to take over its roles.
constexpr milliseconds handoverTimeout{3000};

} // namespace internal

ownership::ownership(const ownership_config &config)
    : m_config(config)
    , m_route(config.timing.readEvery * internal::unreachableAfterReads)
    , m_session(config, m_route)
    , m_expirations(config, m_route, m_votes)
    , m_roles(config, m_route)
    , m_gates(config, m_route)
    , m_rules(std::make_shared<const rule_set>())
{ }

void ownership::handle(const ownership_event &event, time_point now, action_list &actions)
{
    std::visit([this, now, &actions](const auto &e) { on(e, now, actions); }, event);
}

void ownership::on(const tick & /*event*/, time_point now, action_list &actions)
{
    step(now, actions);
}

void ownership::on(const read_done &event, time_point now, action_list &actions)
{
    if (event.id != m_readId) {
        return;
    }
    m_readId = 0;
    if (!event.changes) {
        m_route.recordFailure(m_readRelay);
        return;
    }
    const bool hadOutage = now >= m_lastReadAt + m_config.timing.session / 2;
    m_replica.apply(*event.changes, now);
    m_route.recordSuccess(m_readRelay, now);
    m_lastReadAt = now;
    if (hadOutage) {
        m_replica.restartObservation(now);
    }
    step(now, actions);
}

void ownership::on(const commit_done &event, time_point now, action_list &actions)
{
    const bool isHandled = m_session.handle(event, now)
        || m_expirations.handle(event, m_replica, now) || m_roles.handle(event, m_replica, now)
        || m_gates.handle(event, m_replica, now);
    if (!isHandled) {
        return;
    }
    if (event.answer.outcome == commit_outcome::Conflict) {
        m_readAt = now; // Another VM changed a row: read the table without delay.
    }
    step(now, actions);
}

void ownership::on(const grant_done &event, time_point now, action_list &actions)
{
    m_gates.handle(event, now);
    step(now, actions);
}

void ownership::on(const hold_request_received &event, time_point now, action_list &actions)
{
    hold_answer answer;
    answer.voterTerm = m_session.term();
    if (m_route.isDirectlyReachable(now)) {
        answer.outcome = hold_outcome::Reachable;
    } else if (m_session.hasAuthority(now)
               && m_votes.tryPromise(event.request.from, event.request.version,
                                     now + m_config.timing.promise)) {
        answer.outcome = hold_outcome::Promised;
    }
    actions.emplace_back(answer_hold{event.id, answer});
}

void ownership::on(const vote_request_received &event, time_point now, action_list &actions)
{
    vote_answer answer;
    answer.voterTerm = m_session.term();
    answer.coversFormer = m_expirations.outlivesPreviousIncarnations(now);
    const bool self = event.request.suspect == m_config.self;
    answer.approved = !self && (answer.voterTerm != 0 || answer.coversFormer)
        && m_votes.tryApprove(event.request.suspect, event.request.version, now);
    actions.emplace_back(answer_vote{event.id, answer});
}

void ownership::on(const hold_answered &event, time_point now, action_list &actions)
{
    m_session.handle(event, now);
    step(now, actions);
}

void ownership::on(const vote_answered &event, time_point now, action_list &actions)
{
    m_expirations.handle(event);
    step(now, actions);
}

void ownership::on(const rules_adopted &event, time_point now, action_list &actions)
{
    if (event.version > m_rulesVersion) {
        m_rules = event.rules;
        m_rulesVersion = event.version;
    }
    step(now, actions);
}

void ownership::on(const stop_requested & /*event*/, time_point now, action_list &actions)
{
    m_stopping = true;
    m_handoverDeadline = now + internal::handoverTimeout;
    step(now, actions);
}

void ownership::readTable(time_point now, action_list &actions)
{
    if (m_readId != 0 && now >= m_readDeadline) {
        m_readId = 0;
        m_route.recordFailure(m_readRelay);
    }
    if (m_readId != 0 || now < m_readAt) {
        return;
    }
    m_readAt = now + m_config.timing.readEvery;
    m_readDeadline = now + internal::readTimeout;
    m_readId = ++m_nextId;
    m_readRelay = m_route.chooseRelay(now);
    actions.emplace_back(read_table{m_readId, m_replica.revision(), m_readRelay});
}

void ownership::refreshPlan()
{
    if (m_plannedRoleChanges == m_replica.roleChanges()
        && m_plannedRulesVersion == m_rulesVersion) {
        return;
    }
    m_plannedRoleChanges = m_replica.roleChanges();
    m_plannedRulesVersion = m_rulesVersion;
    m_plan = shard_plan(*m_rules, m_replica);
}

bool ownership::canEndSession(time_point now) const
{
    return m_session.term() == 0 || m_roles.holdsNoRole(m_replica, m_session.term())
        || now >= m_handoverDeadline;
}

void ownership::stepRoles(time_point now, action_list &actions)
{
    refreshPlan();
    const std::uint64_t term = m_session.term();
    if (term != 0 && m_session.hasAuthority(now)) {
        m_roles.step(m_replica, *m_rules, term, m_stopping, m_nextId, now, actions);
    }
    const gate_context context{m_replica, *m_rules, m_plan, m_roles, term, m_session.authority(),
                               now};
    m_gates.step(context, m_nextId, actions);
}

void ownership::step(time_point now, action_list &actions)
{
    readTable(now, actions);
    m_session.step(m_replica, m_rulesVersion, m_nextId, now, actions);
    m_expirations.step(m_replica, m_session.term(), m_nextId, now, actions);
    stepRoles(now, actions);
    if (m_stopping && canEndSession(now)) {
        m_session.requestEnd();
    }
}

bool ownership::holds(std::string_view role, time_point now) const
{
    const seen_row<role_row> *seen = m_replica.role(roleName(m_config.dataCenter, role));
    return seen != nullptr && m_session.hasAuthority(now)
        && m_roles.isMine(seen->row, m_session.term())
        && !m_roles.isHandingOver(roleName(m_config.dataCenter, role));
}

} // namespace damaskward
