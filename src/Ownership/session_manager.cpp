#include "session_manager.h"

#include <algorithm>
#include <functional>

namespace damaskward {

session_manager::session_manager(const ownership_config &config, platform_route &route)
    : m_config(config)
    , m_route(route)
    , m_slot(route)
{ }

time_point session_manager::authority() const
{
    if (!m_applied || m_endRequested) {
        return m_endRequested ? time_point{} : m_tableAuthority;
    }
    // While the outcome of a renewal is unknown, the table may hold the old or the new list of
    // voters, so the promises must be sufficient for both.
    time_point deadline = promisedUntil(m_applied->row.voters);
    if (m_pending) {
        deadline = std::min(deadline, promisedUntil(m_pending->row.voters));
    }
    return std::max(m_tableAuthority, deadline);
}

time_point session_manager::promisedUntil(const std::vector<voter> &voters) const
{
    const std::size_t quorum = promiseQuorum(voters.size());
    std::vector<time_point> deadlines;
    for (const voter &v : voters) {
        if (v.vm == m_config.self) {
            continue;
        }
        const auto found = m_promises.find(v.vm);
        if (found != m_promises.end() && found->second.voterTerm == v.term) {
            deadlines.push_back(found->second.until);
        }
    }
    const std::size_t promisesNeeded = quorum - 1;
    if (promisesNeeded == 0 || deadlines.size() < promisesNeeded) {
        return time_point{};
    }
    std::sort(deadlines.begin(), deadlines.end(), std::greater<>());
    return deadlines[promisesNeeded - 1];
}

std::vector<voter> session_manager::currentVoters(const table_replica &replica,
                                                  std::uint64_t ownTerm) const
{
    std::vector<voter> voters;
    for (const auto &[vm, seen] : replica.sessions()) {
        const bool isVoter = seen.row.dataCenter == m_config.dataCenter
            && seen.row.state == session_state::Live && vm != m_config.self;
        if (isVoter) {
            voters.push_back({vm, seen.row.term});
        }
    }
    voters.push_back({m_config.self, ownTerm});
    return voters;
}

void session_manager::confirmRow(const written_row &row, time_point sentAt)
{
    m_applied = row;
    m_pending.reset();
    m_tableAuthority =
        std::max(m_tableAuthority, sentAt + withDriftMargin(m_config.timing.session));
    m_hasEnded = row.row.state == session_state::Ended;
}

void session_manager::discardSession()
{
    m_applied.reset();
    m_pending.reset();
    m_promises.clear();
    m_promiseRequests.clear();
    m_tableAuthority = time_point{};
}

bool session_manager::isPending(const seen_row<session_row> &seen) const
{
    return m_pending && seen.row.nonce == m_config.nonce && seen.row.term == m_pending->row.term
        && seen.row.counter == m_pending->row.counter && seen.row.state == m_pending->row.state;
}

void session_manager::reconcileWith(const table_replica &replica)
{
    const seen_row<session_row> *seen = replica.session(m_config.self);
    if (seen == nullptr) {
        return;
    }
    if (m_pending && seen->version > m_pending->base && isPending(*seen)) {
        confirmRow({seen->row, seen->version}, m_pending->firstSentAt);
        return;
    }
    const bool replacedByOther = m_applied ? seen->version > m_applied->version
                                           : m_pending && seen->version > m_pending->base;
    if (replacedByOther) {
        discardSession();
    }
}

void session_manager::prepareFirstRow(const table_replica &replica)
{
    const seen_row<session_row> *seen = replica.session(m_config.self);
    const bool previousIncarnationLive = seen != nullptr && seen->row.state == session_state::Live;
    if (!replica.wasRead() || m_endRequested || previousIncarnationLive) {
        return; // The previous incarnation must first be declared expired, like any other VM.
    }
    session_row row;
    row.dataCenter = m_config.dataCenter;
    row.term = seen == nullptr ? 1 : seen->row.term + 1;
    row.counter = 1;
    row.controlAddress = m_config.controlAddress;
    row.adminAddress = m_config.adminAddress;
    row.nonce = m_config.nonce;
    row.voters = currentVoters(replica, row.term);
    m_pending = pending_row{row, seen == nullptr ? 0 : seen->version, time_point{}};
}

void session_manager::prepareRenewal(const table_replica &replica, std::uint64_t rulesVersion)
{
    session_row row = m_applied->row;
    ++row.counter;
    row.rulesVersion = rulesVersion;
    row.state = m_endRequested ? session_state::Ended : session_state::Live;
    row.voters = currentVoters(replica, row.term);
    m_pending = pending_row{row, m_applied->version, time_point{}};
}

void session_manager::sendPending(operation_id &nextId, time_point now, action_list &actions)
{
    if (m_pending->firstSentAt == time_point{}) {
        m_pending->firstSentAt = now;
    }
    m_renewAt = now + m_config.timing.renewEvery;
    table_transaction transaction;
    transaction.replace(sessionName(m_config.self), m_pending->base, encode(m_pending->row));
    m_slot.start(std::move(transaction), ++nextId, now, actions);
}

void session_manager::requestPromises(operation_id &nextId, time_point now, action_list &actions)
{
    m_requestPromisesAt = now + m_config.timing.renewEvery;
    for (auto it = m_promiseRequests.begin(); it != m_promiseRequests.end();) {
        const bool hasTimedOut = it->second.sentAt + m_config.timing.promise < now;
        it = hasTimedOut ? m_promiseRequests.erase(it) : std::next(it);
    }
    for (const voter &v : m_applied->row.voters) {
        if (v.vm == m_config.self) {
            continue;
        }
        const operation_id id = ++nextId;
        m_promiseRequests[id] = {v.vm, now};
        const hold_request request{m_config.self, m_applied->row.term, m_applied->version};
        actions.emplace_back(send_hold_request{id, v.vm, request});
    }
}

void session_manager::step(const table_replica &replica, std::uint64_t rulesVersion,
                           operation_id &nextId, time_point now, action_list &actions)
{
    if (const auto timedOut = m_slot.takeTimedOut(now)) {
        onCompleted(*timedOut, now);
    }
    reconcileWith(replica);
    if (m_hasEnded) {
        return;
    }
    const bool rulesChanged = m_applied && m_applied->row.rulesVersion != rulesVersion;
    const bool isDue = now >= m_renewAt || m_endRequested || rulesChanged;
    if (isDue && m_slot.isIdle()) {
        if (!m_pending && m_applied) {
            prepareRenewal(replica, rulesVersion);
        } else if (!m_pending) {
            prepareFirstRow(replica);
        }
        if (m_pending) {
            sendPending(nextId, now, actions);
        }
    }
    const bool needsPromises = m_applied && !m_endRequested && !m_route.isReachable(now);
    if (needsPromises && now >= m_requestPromisesAt) {
        requestPromises(nextId, now, actions);
    }
}

void session_manager::onCompleted(const transaction_slot::finished &done, time_point now)
{
    switch (done.answer.outcome) {
    case commit_outcome::Applied:
        if (m_pending) {
            confirmRow({m_pending->row, done.answer.revision}, done.startedAt);
            m_renewAt = std::min(m_renewAt, done.startedAt + m_config.timing.renewEvery);
        } else if (m_applied && m_applied->version == done.answer.revision) {
            confirmRow(*m_applied, done.startedAt);
        }
        break;
    case commit_outcome::Conflict:
        // Either an earlier attempt was applied or another VM declared the session expired. The
        // next read of the table shows which.
        break;
    case commit_outcome::Refused:
    case commit_outcome::Unknown:
        m_renewAt = now;
        break;
    }
}

bool session_manager::handle(const commit_done &event, time_point now)
{
    const auto done = m_slot.finish(event, now);
    if (!done) {
        return false;
    }
    onCompleted(*done, now);
    return true;
}

void session_manager::handle(const hold_answered &event, time_point now)
{
    const auto sent = m_promiseRequests.find(event.id);
    if (sent == m_promiseRequests.end()) {
        return;
    }
    const promise_request request = sent->second;
    m_promiseRequests.erase(sent);
    if (!event.answer) {
        return;
    }
    if (event.answer->outcome == hold_outcome::Reachable) {
        m_route.offerRelay(request.voter, now);
    }
    if (event.answer->outcome == hold_outcome::Promised) {
        const time_point until = request.sentAt + withDriftMargin(m_config.timing.promise);
        promise &current = m_promises[request.voter];
        const bool sameVoter = current.voterTerm == event.answer->voterTerm;
        current.until = sameVoter ? std::max(current.until, until) : until;
        current.voterTerm = event.answer->voterTerm;
    }
}

} // namespace damaskward
