#include "gate_queue.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// The weight of a new service time in the moving average is the reciprocal of this.
constexpr int meanWindow = 16;
constexpr std::size_t maxWaitingPerSlot = 256;

} // namespace internal

gate_queue::gate_queue(const slot_limits &limits)
    : m_limits(limits)
{ }

void gate_queue::setBoot(std::uint64_t boot, time_point now)
{
    if (boot == m_boot) {
        return;
    }
    m_boot = boot;
    m_warmupEndsAt = now + m_limits.warmAfter;
}

int gate_queue::allowed(time_point now) const
{
    if (!m_isOpen) {
        return 0;
    }
    const int slots =
        now < m_warmupEndsAt ? std::min(m_limits.coldSlots, m_limits.slots) : m_limits.slots;
    return std::max(0, slots - m_runningElsewhere);
}

bool gate_queue::enqueue(const waiting_request &request, time_point now)
{
    const std::size_t slots = static_cast<std::size_t>(std::max(1, m_limits.slots));
    const auto roundsAhead = static_cast<int>(m_waitingCount / slots);
    const bool tooLate = now + m_meanServiceTime * (roundsAhead + 1) > request.deadline;
    if (tooLate || m_waitingCount >= slots * internal::maxWaitingPerSlot) {
        return false;
    }
    std::deque<waiting_request> &queue = m_waiting[request.team];
    if (queue.empty()) {
        m_teamOrder.push_back(request.team);
    }
    queue.push_back(request);
    ++m_waitingCount;
    return true;
}

std::optional<request_number> gate_queue::dispatch(time_point now)
{
    if (m_teamOrder.empty() || running() >= allowed(now)) {
        return std::nullopt;
    }
    const team_id team = m_teamOrder.front();
    m_teamOrder.pop_front();
    std::deque<waiting_request> &queue = m_waiting[team];
    const request_number number = queue.front().number;
    queue.pop_front();
    --m_waitingCount;
    if (queue.empty()) {
        m_waiting.erase(team);
    } else {
        m_teamOrder.push_back(team);
    }
    m_running[number] = now;
    return number;
}

void gate_queue::finish(request_number number, bool served, time_point now)
{
    const auto sent = m_running.find(number);
    if (sent == m_running.end()) {
        return;
    }
    if (served) {
        const duration took = now - sent->second;
        const bool first = m_meanServiceTime == duration::zero();
        m_meanServiceTime =
            first ? took : m_meanServiceTime + (took - m_meanServiceTime) / internal::meanWindow;
    }
    m_running.erase(sent);
}

void gate_queue::removeTeamIfIdle(const team_id &team)
{
    const auto queue = m_waiting.find(team);
    if (queue == m_waiting.end() || !queue->second.empty()) {
        return;
    }
    m_waiting.erase(queue);
    m_teamOrder.erase(std::remove(m_teamOrder.begin(), m_teamOrder.end(), team), m_teamOrder.end());
}

std::vector<request_number> gate_queue::expire(time_point now)
{
    std::vector<request_number> expired;
    const std::deque<team_id> teams = m_teamOrder;
    for (const team_id &team : teams) {
        std::deque<waiting_request> &queue = m_waiting[team];
        const auto isExpired = [now](const waiting_request &r) { return r.deadline <= now; };
        for (const waiting_request &request : queue) {
            if (isExpired(request)) {
                expired.push_back(request.number);
            }
        }
        queue.erase(std::remove_if(queue.begin(), queue.end(), isExpired), queue.end());
        removeTeamIfIdle(team);
    }
    m_waitingCount -= expired.size();
    return expired;
}

std::vector<request_number> gate_queue::drainAll()
{
    std::vector<request_number> all;
    for (const auto &[team, queue] : m_waiting) {
        for (const waiting_request &request : queue) {
            all.push_back(request.number);
        }
    }
    m_waiting.clear();
    m_teamOrder.clear();
    m_waitingCount = 0;
    return all;
}

bool gate_queue::cancel(request_number number)
{
    const std::deque<team_id> teams = m_teamOrder;
    for (const team_id &team : teams) {
        std::deque<waiting_request> &queue = m_waiting[team];
        const auto matches = [number](const waiting_request &r) { return r.number == number; };
        const auto it = std::find_if(queue.begin(), queue.end(), matches);
        if (it != queue.end()) {
            queue.erase(it);
            --m_waitingCount;
            removeTeamIfIdle(team);
            return true;
        }
    }
    return false;
}

} // namespace damaskward
