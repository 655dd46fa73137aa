#include "target_lease.h"

namespace damaskward {

target_lease::target_lease(target_id target, std::string address, std::uint64_t gateTerm,
                           time_point surelyPassedAt, const control_timing &timing, time_point now)
    : m_target(std::move(target))
    , m_address(std::move(address))
    , m_gateTerm(gateTerm)
    , m_timing(timing)
    , m_surelyPassedAt(surelyPassedAt)
    , m_answerBy(now + timing.targetTimeout)
    , m_sendAt(now)
{ }

void target_lease::want(std::vector<granted_shard> shards)
{
    if (shards == m_wanted) {
        return;
    }
    m_wanted = std::move(shards);
    ++m_setNumber;
    m_released = false;
    m_sendAt = time_point{};
}

grant_request target_lease::makeOrder(time_point deadline) const
{
    grant_request order;
    order.target = m_target;
    order.boot = m_boot;
    order.gateTerm = m_gateTerm;
    order.sequence = m_sequence;
    order.setNumber = m_setNumber;
    const duration ahead = std::max(deadline - m_reportedAt, duration::zero());
    order.deadline.micros = m_reported.micros
        + std::chrono::duration_cast<microseconds>(withDriftMargin(ahead)).count();
    if (m_ackedSet != m_setNumber) {
        order.shards = m_wanted;
    }
    return order;
}

void target_lease::step(time_point authority, time_point now, action_list &actions)
{
    if (authority <= now) {
        m_answerBy = now + m_timing.targetTimeout; // Nothing is asked, so silence says nothing.
        return;
    }
    if (now >= m_answerBy) {
        m_status = target_status::Down;
    }
    if (now < m_sendAt || m_fenced) {
        return;
    }
    m_sendAt = now + m_timing.grantEvery;
    ++m_sequence;
    // A lost target is only asked for its state: a grant would put off the time at which its
    // shards may move.
    if (m_boot == 0 || m_status == target_status::Down) {
        grant_request question;
        question.target = m_target;
        actions.emplace_back(send_grant{m_address, question});
        return;
    }
    const time_point deadline = std::min(authority, now + m_timing.grant);
    m_grantedUntil = std::max(m_grantedUntil, deadline);
    m_surelyPassedAt = std::max(m_surelyPassedAt, m_grantedUntil);
    actions.emplace_back(send_grant{m_address, makeOrder(deadline)});
}

void target_lease::learn(const grant_answer &answer, time_point now)
{
    if (answer.boot != m_boot) {
        // The target has started anew and holds nothing; order the whole set at once.
        m_boot = answer.boot;
        m_ackedSet = 0;
        m_released = false;
        m_reported = target_time{};
        m_reportedAt = time_point{};
        m_sendAt = time_point{};
    }
    // Answers may overtake each other; the latest reading of the clock is the best.
    if (m_reported < answer.now) {
        m_reported = answer.now;
        m_reportedAt = now;
    }
    m_fenced = answer.gateTerm > m_gateTerm;
    if (answer.gateTerm != m_gateTerm) {
        return;
    }
    if (answer.setNumber != m_setNumber && m_ackedSet == m_setNumber) {
        return; // An older answer that was overtaken.
    }
    m_ackedSet = answer.setNumber;
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
    m_answerBy = now + m_timing.targetTimeout;
    m_status = target_status::Up;
    learn(*event.answer, now);
}

} // namespace damaskward
