#include "target_lease.h"

namespace damaskward {

target_lease::target_lease(target_id target, std::string address, std::uint64_t gateTerm,
                           time_point earlierGrantsExpireAt, const control_timing &timing,
                           time_point now)
    : m_target(std::move(target))
    , m_address(std::move(address))
    , m_gateTerm(gateTerm)
    , m_timing(timing)
    , m_grantsExpireAt(earlierGrantsExpireAt)
    , m_answerDeadline(now + timing.targetTimeout)
    , m_sendAt(now)
{ }

void target_lease::setWanted(std::vector<granted_shard> shards)
{
    if (shards == m_wanted) {
        return;
    }
    m_wanted = std::move(shards);
    ++m_setNumber;
    m_released = false;
    m_sendAt = time_point{};
}

grant_request target_lease::makeGrant(time_point deadline) const
{
    grant_request request;
    request.target = m_target;
    request.boot = m_boot;
    request.gateTerm = m_gateTerm;
    request.sequence = m_sequence;
    request.setNumber = m_setNumber;
    const duration remaining = std::max(deadline - m_reportedAt, duration::zero());
    request.deadline.micros = m_reported.micros
        + std::chrono::duration_cast<microseconds>(withDriftMargin(remaining)).count();
    if (m_confirmedSet != m_setNumber) {
        request.shards = m_wanted;
    }
    return request;
}

void target_lease::step(time_point authority, time_point now, action_list &actions)
{
    if (authority <= now) {
        // No message is sent, so the target cannot be expected to answer.
        m_answerDeadline = now + m_timing.targetTimeout;
        return;
    }
    if (now >= m_answerDeadline) {
        m_status = target_status::Down;
    }
    if (now < m_sendAt || m_isFenced) {
        return;
    }
    m_sendAt = now + m_timing.grantEvery;
    ++m_sequence;
    // A target that is down only gets a status request: a grant would delay the time at which its
    // shards may be moved.
    if (m_boot == 0 || m_status == target_status::Down) {
        grant_request statusRequest;
        statusRequest.target = m_target;
        actions.emplace_back(send_grant{m_address, statusRequest});
        return;
    }
    const time_point deadline = std::min(authority, now + m_timing.grant);
    m_grantedUntil = std::max(m_grantedUntil, deadline);
    m_grantsExpireAt = std::max(m_grantsExpireAt, m_grantedUntil);
    actions.emplace_back(send_grant{m_address, makeGrant(deadline)});
}

void target_lease::applyAnswer(const grant_answer &answer, time_point now)
{
    if (answer.boot != m_boot) {
        // The target has restarted and holds nothing: send it the whole set at once.
        m_boot = answer.boot;
        m_confirmedSet = 0;
        m_released = false;
        m_reported = target_time{};
        m_reportedAt = time_point{};
        m_sendAt = time_point{};
    }
    // Answers may arrive out of order. The latest clock reading gives the tightest bound.
    if (m_reported < answer.now) {
        m_reported = answer.now;
        m_reportedAt = now;
    }
    m_isFenced = answer.gateTerm > m_gateTerm;
    if (answer.gateTerm != m_gateTerm) {
        return;
    }
    if (answer.setNumber != m_setNumber && m_confirmedSet == m_setNumber) {
        return; // An older answer that arrived late.
    }
    m_confirmedSet = answer.setNumber;
    m_runningForOthers = static_cast<int>(answer.runningForOthers);
    m_released = answer.setNumber == m_setNumber && answer.closing == 0;
}

void target_lease::handle(const grant_done &event, time_point now)
{
    if (!event.answer) {
        if (event.connectionRefused && m_status != target_status::Down) {
            m_status = target_status::Down;
        }
        return;
    }
    m_answerDeadline = now + m_timing.targetTimeout;
    m_status = target_status::Up;
    applyAnswer(*event.answer, now);
}

} // namespace damaskward
