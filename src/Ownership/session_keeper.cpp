#include "session_keeper.h"

#include <algorithm>
#include <functional>

namespace damaskward {

session_keeper::session_keeper(const ownership_config &config, platform_route &route)
    : m_config(config)
    , m_route(route)
    , m_lane(route)
{ }

time_point session_keeper::authority() const
{
    if (!m_applied || m_ending) {
        return m_ending ? time_point{} : m_tableAuthority;
    }
    // While a renewal's outcome is unknown the table may name either list of voters.
    time_point held = heldBy(m_applied->row.voters);
    if (m_pending) {
        held = std::min(held, heldBy(m_pending->row.voters));
    }
    return std::max(m_tableAuthority, held);
}

time_point session_keeper::heldBy(const std::vector<voter> &voters) const
{
    const std::size_t quorum = promiseQuorum(voters.size());
    std::vector<time_point> deadlines;
    for (const voter &v : voters) {
        if (v.vm == m_config.self) {
            continue;
        }
        const auto given = m_promises.find(v.vm);
        if (given != m_promises.end() && given->second.voterTerm == v.term) {
            deadlines.push_back(given->second.until);
        }
    }
    const std::size_t neededFromOthers = quorum - 1;
    if (neededFromOthers == 0 || deadlines.size() < neededFromOthers) {
        return time_point{};
    }
    std::sort(deadlines.begin(), deadlines.end(), std::greater<>());
    return deadlines[neededFromOthers - 1];
}

std::vector<voter> session_keeper::currentVoters(const table_mirror &mirror,
                                                 std::uint64_t ownTerm) const
{
    std::vector<voter> voters;
    for (const auto &[vm, seen] : mirror.sessions()) {
        const bool counts = seen.row.dataCenter == m_config.dataCenter
            && seen.row.state == session_state::Live && vm != m_config.self;
        if (counts) {
            voters.push_back({vm, seen.row.term});
        }
    }
    voters.push_back({m_config.self, ownTerm});
    return voters;
}

void session_keeper::settle(const written_row &row, time_point sentAt)
{
    m_applied = row;
    m_pending.reset();
    m_tableAuthority =
        std::max(m_tableAuthority, sentAt + withDriftMargin(m_config.timing.session));
    m_ended = row.row.state == session_state::Ended;
}

void session_keeper::loseSession()
{
    m_applied.reset();
    m_pending.reset();
    m_promises.clear();
    m_asked.clear();
    m_tableAuthority = time_point{};
}

bool session_keeper::isPending(const seen_row<session_row> &seen) const
{
    return m_pending && seen.row.nonce == m_config.nonce && seen.row.term == m_pending->row.term
        && seen.row.counter == m_pending->row.counter && seen.row.state == m_pending->row.state;
}

void session_keeper::learnFrom(const table_mirror &mirror)
{
    const seen_row<session_row> *seen = mirror.session(m_config.self);
    if (seen == nullptr) {
        return;
    }
    if (m_pending && seen->version > m_pending->base && isPending(*seen)) {
        settle({seen->row, seen->version}, m_pending->firstSentAt);
        return;
    }
    const bool overtaken = m_applied ? seen->version > m_applied->version
                                     : m_pending && seen->version > m_pending->base;
    if (overtaken) {
        loseSession();
    }
}

void session_keeper::begin(const table_mirror &mirror)
{
    const seen_row<session_row> *seen = mirror.session(m_config.self);
    const bool formerStillLive = seen != nullptr && seen->row.state == session_state::Live;
    if (!mirror.wasRead() || m_ending || formerStillLive) {
        return; // A former incarnation has to be declared lapsed first, like any other VM.
    }
    session_row row;
    row.dataCenter = m_config.dataCenter;
    row.term = seen == nullptr ? 1 : seen->row.term + 1;
    row.counter = 1;
    row.controlAddress = m_config.controlAddress;
    row.adminAddress = m_config.adminAddress;
    row.nonce = m_config.nonce;
    row.voters = currentVoters(mirror, row.term);
    m_pending = pending_row{row, seen == nullptr ? 0 : seen->version, time_point{}};
}

void session_keeper::renew(const table_mirror &mirror, std::uint64_t rulesVersion)
{
    session_row row = m_applied->row;
    ++row.counter;
    row.rulesVersion = rulesVersion;
    row.state = m_ending ? session_state::Ended : session_state::Live;
    row.voters = currentVoters(mirror, row.term);
    m_pending = pending_row{row, m_applied->version, time_point{}};
}

void session_keeper::sendPending(operation_id &nextId, time_point now, action_list &actions)
{
    if (m_pending->firstSentAt == time_point{}) {
        m_pending->firstSentAt = now;
    }
    m_renewAt = now + m_config.timing.renewEvery;
    table_transaction transaction;
    transaction.replace(sessionName(m_config.self), m_pending->base, encode(m_pending->row));
    m_lane.start(std::move(transaction), ++nextId, now, actions);
}

void session_keeper::askPromises(operation_id &nextId, time_point now, action_list &actions)
{
    m_askAt = now + m_config.timing.renewEvery;
    for (auto it = m_asked.begin(); it != m_asked.end();) {
        const bool old = it->second.sentAt + m_config.timing.promise < now;
        it = old ? m_asked.erase(it) : std::next(it);
    }
    for (const voter &v : m_applied->row.voters) {
        if (v.vm == m_config.self) {
            continue;
        }
        const operation_id id = ++nextId;
        m_asked[id] = {v.vm, now};
        const hold_request request{m_config.self, m_applied->row.term, m_applied->version};
        actions.emplace_back(ask_hold{id, v.vm, request});
    }
}

void session_keeper::step(const table_mirror &mirror, std::uint64_t rulesVersion,
                          operation_id &nextId, time_point now, action_list &actions)
{
    if (const auto late = m_lane.expire(now)) {
        finish(*late, now);
    }
    learnFrom(mirror);
    if (m_ended) {
        return;
    }
    const bool newRules = m_applied && m_applied->row.rulesVersion != rulesVersion;
    const bool due = now >= m_renewAt || m_ending || newRules;
    if (due && m_lane.idle()) {
        if (!m_pending && m_applied) {
            renew(mirror, rulesVersion);
        } else if (!m_pending) {
            begin(mirror);
        }
        if (m_pending) {
            sendPending(nextId, now, actions);
        }
    }
    const bool needsPromises = m_applied && !m_ending && !m_route.reaches(now);
    if (needsPromises && now >= m_askAt) {
        askPromises(nextId, now, actions);
    }
}

void session_keeper::finish(const table_lane::ended &done, time_point now)
{
    switch (done.answer.outcome) {
    case commit_outcome::Applied:
        if (m_pending) {
            settle({m_pending->row, done.answer.revision}, done.startedAt);
            m_renewAt = std::min(m_renewAt, done.startedAt + m_config.timing.renewEvery);
        } else if (m_applied && m_applied->version == done.answer.revision) {
            settle(*m_applied, done.startedAt);
        }
        break;
    case commit_outcome::Conflict:
        // The next reading tells whether an earlier attempt was applied or the session is lost.
        break;
    case commit_outcome::Refused:
    case commit_outcome::Unknown:
        m_renewAt = now;
        break;
    }
}

bool session_keeper::handle(const commit_done &event, time_point now)
{
    const auto done = m_lane.finish(event, now);
    if (!done) {
        return false;
    }
    finish(*done, now);
    return true;
}

void session_keeper::handle(const hold_answered &event, time_point now)
{
    const auto asked = m_asked.find(event.id);
    if (asked == m_asked.end()) {
        return;
    }
    const asked_promise request = asked->second;
    m_asked.erase(asked);
    if (!event.answer) {
        return;
    }
    if (event.answer->outcome == hold_outcome::Reachable) {
        m_route.offer(request.voter, now);
    }
    if (event.answer->outcome == hold_outcome::Promised) {
        const time_point until = request.sentAt + withDriftMargin(m_config.timing.promise);
        promise &given = m_promises[request.voter];
        const bool sameVoter = given.voterTerm == event.answer->voterTerm;
        given.until = sameVoter ? std::max(given.until, until) : until;
        given.voterTerm = event.answer->voterTerm;
    }
}

} // namespace damaskward
