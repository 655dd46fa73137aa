#include "expiration_manager.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// How long to wait for the answers to one round of vote requests before the next round.
constexpr milliseconds voteRetryTime{150};
constexpr std::size_t maxOutstandingVotes = 1024;

} // namespace internal

expiration_manager::expiration_manager(const ownership_config &config, platform_route &route,
                                       vote_record &votes)
    : m_config(config)
    , m_route(route)
    , m_votes(votes)
    , m_slot(route)
{ }

bool expiration_manager::outlivesPreviousIncarnations(time_point now) const
{
    const duration longest = std::max(m_config.timing.promise, m_config.timing.session);
    return m_startedAt && now >= *m_startedAt + longest;
}

bool expiration_manager::isSuspect(const vm_id &vm, const seen_row<session_row> &seen,
                                   std::uint64_t ownTerm, time_point now) const
{
    const bool self = vm == m_config.self && seen.row.nonce == m_config.nonce;
    const bool ownSessionLive = vm == m_config.self && ownTerm != 0;
    return seen.row.dataCenter == m_config.dataCenter && seen.row.state == session_state::Live
        && !self && !ownSessionLive && now >= seen.firstSeen + m_config.timing.session;
}

void expiration_manager::requestVotes(const vm_id &suspect, const seen_row<session_row> &seen,
                                      std::uint64_t ownTerm, suspicion &votes, operation_id &nextId,
                                      time_point now, action_list &actions)
{
    votes.requestAt = now + internal::voteRetryTime;
    if (m_pendingVotes.size() > internal::maxOutstandingVotes) {
        m_pendingVotes.clear();
    }
    for (const voter &v : seen.row.voters) {
        const bool isSkipped = v.vm == suspect || votes.approvals.count(v.vm) != 0;
        if (isSkipped) {
            continue;
        }
        if (v.vm == m_config.self) {
            const bool isApproval = v.term == ownTerm || outlivesPreviousIncarnations(now);
            if (isApproval && m_votes.tryApprove(suspect, seen.version, now)) {
                votes.approvals.insert(v.vm);
            }
            continue;
        }
        const operation_id id = ++nextId;
        m_pendingVotes[id] = {suspect, v, seen.version};
        actions.emplace_back(send_vote_request{id, v.vm, {m_config.self, suspect, seen.version}});
    }
}

std::size_t expiration_manager::countApprovals(const seen_row<session_row> &seen,
                                               const suspicion &votes, const table_replica &replica,
                                               time_point now) const
{
    std::size_t count = 0;
    for (const voter &v : seen.row.voters) {
        // A voter whose incarnation has ended makes no new promises, and its earlier promises
        // expire within the promise time. So it counts as an approval after that time.
        const seen_row<session_row> *row = replica.session(v.vm);
        const bool hasEnded = row != nullptr && !replica.isLive(v.vm, v.term)
            && now >= row->firstSeen + m_config.timing.promise;
        count += hasEnded || votes.approvals.count(v.vm) != 0 ? 1 : 0;
    }
    return count;
}

void expiration_manager::declareExpired(const vm_id &suspect, const seen_row<session_row> &seen,
                                        operation_id &nextId, time_point now, action_list &actions)
{
    session_row row = seen.row;
    row.state = session_state::Lapsed;
    table_transaction transaction;
    transaction.replace(sessionName(suspect), seen.version, encode(row));
    m_slot.start(std::move(transaction), ++nextId, now, actions);
}

void expiration_manager::step(const table_replica &replica, std::uint64_t ownTerm,
                              operation_id &nextId, time_point now, action_list &actions)
{
    m_startedAt = m_startedAt.value_or(now);
    m_slot.takeTimedOut(now);
    if (!m_route.isReachable(now)) {
        return;
    }
    for (const auto &[vm, seen] : replica.sessions()) {
        if (!isSuspect(vm, seen, ownTerm, now)) {
            m_suspicions.erase(vm);
            continue;
        }
        suspicion &votes = m_suspicions[vm];
        if (votes.version != seen.version) {
            votes = suspicion{seen.version, {}, time_point{}};
        }
        const bool isPreviousIncarnation = vm == m_config.self && outlivesPreviousIncarnations(now);
        const std::size_t needed =
            isPreviousIncarnation ? 0 : expirationQuorum(seen.row.voters.size());
        if (countApprovals(seen, votes, replica, now) < needed && now >= votes.requestAt) {
            requestVotes(vm, seen, ownTerm, votes, nextId, now, actions);
        }
        if (countApprovals(seen, votes, replica, now) >= needed && m_slot.isIdle()) {
            declareExpired(vm, seen, nextId, now, actions);
        }
    }
}

void expiration_manager::handle(const vote_answered &event)
{
    const auto sent = m_pendingVotes.find(event.id);
    if (sent == m_pendingVotes.end()) {
        return;
    }
    const pending_vote vote = sent->second;
    m_pendingVotes.erase(sent);
    const auto votes = m_suspicions.find(vote.suspect);
    const bool isApproval = event.answer && event.answer->approved
        && (event.answer->voterTerm == vote.recipient.term || event.answer->coversFormer)
        && votes != m_suspicions.end() && votes->second.version == vote.version;
    if (isApproval) {
        votes->second.approvals.insert(vote.recipient.vm);
    }
}

} // namespace damaskward
