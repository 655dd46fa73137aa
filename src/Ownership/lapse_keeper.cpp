#include "lapse_keeper.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// How long the answers to one round of vote requests are waited for.
constexpr milliseconds voteRetryTime{150};
constexpr std::size_t maxOutstandingVotes = 1024;

} // namespace internal

lapse_keeper::lapse_keeper(const ownership_config &config, platform_route &route, vote_book &votes)
    : m_config(config)
    , m_route(route)
    , m_votes(votes)
    , m_lane(route)
{ }

bool lapse_keeper::outlastsFormer(time_point now) const
{
    const duration longest = std::max(m_config.timing.promise, m_config.timing.session);
    return m_startedAt && now >= *m_startedAt + longest;
}

bool lapse_keeper::isSuspect(const vm_id &vm, const seen_row<session_row> &seen,
                             std::uint64_t ownTerm, time_point now) const
{
    const bool self = vm == m_config.self && seen.row.nonce == m_config.nonce;
    const bool ownLive = vm == m_config.self && ownTerm != 0;
    return seen.row.dataCenter == m_config.dataCenter && seen.row.state == session_state::Live
        && !self && !ownLive && now >= seen.firstSeen + m_config.timing.session;
}

void lapse_keeper::askVotes(const vm_id &suspect, const seen_row<session_row> &seen,
                            std::uint64_t ownTerm, suspicion &about, operation_id &nextId,
                            time_point now, action_list &actions)
{
    about.askAt = now + internal::voteRetryTime;
    if (m_asked.size() > internal::maxOutstandingVotes) {
        m_asked.clear();
    }
    for (const voter &v : seen.row.voters) {
        const bool skipped = v.vm == suspect || about.approvals.count(v.vm) != 0;
        if (skipped) {
            continue;
        }
        if (v.vm == m_config.self) {
            const bool counts = v.term == ownTerm || outlastsFormer(now);
            if (counts && m_votes.tryApprove(suspect, seen.version, now)) {
                about.approvals.insert(v.vm);
            }
            continue;
        }
        const operation_id id = ++nextId;
        m_asked[id] = {suspect, v, seen.version};
        actions.emplace_back(ask_vote{id, v.vm, {m_config.self, suspect, seen.version}});
    }
}

std::size_t lapse_keeper::countApprovals(const seen_row<session_row> &seen, const suspicion &about,
                                         const table_mirror &mirror, time_point now) const
{
    std::size_t count = 0;
    for (const voter &v : seen.row.voters) {
        // An incarnation that is known to be gone promises nothing new, and what it had promised
        // runs out within the promise span.
        const seen_row<session_row> *row = mirror.session(v.vm);
        const bool gone = row != nullptr && !mirror.isLive(v.vm, v.term)
            && now >= row->firstSeen + m_config.timing.promise;
        count += gone || about.approvals.count(v.vm) != 0 ? 1 : 0;
    }
    return count;
}

void lapse_keeper::declare(const vm_id &suspect, const seen_row<session_row> &seen,
                           operation_id &nextId, time_point now, action_list &actions)
{
    session_row row = seen.row;
    row.state = session_state::Lapsed;
    table_transaction transaction;
    transaction.replace(sessionName(suspect), seen.version, encode(row));
    m_lane.start(std::move(transaction), ++nextId, now, actions);
}

void lapse_keeper::step(const table_mirror &mirror, std::uint64_t ownTerm, operation_id &nextId,
                        time_point now, action_list &actions)
{
    m_startedAt = m_startedAt.value_or(now);
    m_lane.expire(now);
    if (!m_route.reaches(now)) {
        return;
    }
    for (const auto &[vm, seen] : mirror.sessions()) {
        if (!isSuspect(vm, seen, ownTerm, now)) {
            m_suspicions.erase(vm);
            continue;
        }
        suspicion &about = m_suspicions[vm];
        if (about.version != seen.version) {
            about = suspicion{seen.version, {}, time_point{}};
        }
        const bool formerSelf = vm == m_config.self && outlastsFormer(now);
        const std::size_t needed = formerSelf ? 0 : lapseQuorum(seen.row.voters.size());
        if (countApprovals(seen, about, mirror, now) < needed && now >= about.askAt) {
            askVotes(vm, seen, ownTerm, about, nextId, now, actions);
        }
        if (countApprovals(seen, about, mirror, now) >= needed && m_lane.idle()) {
            declare(vm, seen, nextId, now, actions);
        }
    }
}

void lapse_keeper::handle(const vote_answered &event)
{
    const auto asked = m_asked.find(event.id);
    if (asked == m_asked.end()) {
        return;
    }
    const asked_vote vote = asked->second;
    m_asked.erase(asked);
    const auto about = m_suspicions.find(vote.suspect);
    const bool counts = event.answer && event.answer->approved
        && (event.answer->voterTerm == vote.asked.term || event.answer->coversFormer)
        && about != m_suspicions.end() && about->second.version == vote.version;
    if (counts) {
        about->second.approvals.insert(vote.asked.vm);
    }
}

} // namespace damaskward
