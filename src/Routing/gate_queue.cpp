#include "gate_queue.h"

#include <algorithm>

namespace damaskward {
namespace internal {

/// The weight of one answer in the running mean is 1 / this.
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
    m_warmAt = now + m_limits.warmAfter;
}

int gate_queue::allowed(time_point now) const
{
    if (!m_open) {
        return 0;
    }
    const int bears =
        now < m_warmAt ? std::min(m_limits.coldSlots, m_limits.slots) : m_limits.slots;
    return std::max(0, bears - m_runningElsewhere);
}

bool gate_queue::enqueue(const waiting_request &request, time_point now)
{
    const std::size_t slots = static_cast<std::size_t>(std::max(1, m_limits.slots));
    const auto ahead = static_cast<int>(m_waitingCount / slots);
    const bool tooLate = now + m_meanService * (ahead + 1) > request.deadline;
    if (tooLate || m_waitingCount >= slots * internal::maxWaitingPerSlot) {
        return false;
    }
    std::deque<waiting_request> &line = m_waiting[request.team];
    if (line.empty()) {
        m_turns.push_back(request.team);
    }
    line.push_back(request);
    ++m_waitingCount;
    return true;
}

std::optional<request_number> gate_queue::dispatch(time_point now)
{
    if (m_turns.empty() || running() >= allowed(now)) {
        return std::nullopt;
    }
    const team_id team = m_turns.front();
    m_turns.pop_front();
    std::deque<waiting_request> &line = m_waiting[team];
    const request_number number = line.front().number;
    line.pop_front();
    --m_waitingCount;
    if (line.empty()) {
        m_waiting.erase(team);
    } else {
        m_turns.push_back(team);
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
        const bool first = m_meanService == duration::zero();
        m_meanService =
            first ? took : m_meanService + (took - m_meanService) / internal::meanWindow;
    }
    m_running.erase(sent);
}

void gate_queue::forgetTeamIfIdle(const team_id &team)
{
    const auto line = m_waiting.find(team);
    if (line == m_waiting.end() || !line->second.empty()) {
        return;
    }
    m_waiting.erase(line);
    m_turns.erase(std::remove(m_turns.begin(), m_turns.end(), team), m_turns.end());
}

std::vector<request_number> gate_queue::expire(time_point now)
{
    std::vector<request_number> late;
    const std::deque<team_id> teams = m_turns;
    for (const team_id &team : teams) {
        std::deque<waiting_request> &line = m_waiting[team];
        const auto passed = [now](const waiting_request &r) { return r.deadline <= now; };
        for (const waiting_request &request : line) {
            if (passed(request)) {
                late.push_back(request.number);
            }
        }
        line.erase(std::remove_if(line.begin(), line.end(), passed), line.end());
        forgetTeamIfIdle(team);
    }
    m_waitingCount -= late.size();
    return late;
}

std::vector<request_number> gate_queue::drainAll()
{
    std::vector<request_number> all;
    for (const auto &[team, line] : m_waiting) {
        for (const waiting_request &request : line) {
            all.push_back(request.number);
        }
    }
    m_waiting.clear();
    m_turns.clear();
    m_waitingCount = 0;
    return all;
}

bool gate_queue::cancel(request_number number)
{
    const std::deque<team_id> teams = m_turns;
    for (const team_id &team : teams) {
        std::deque<waiting_request> &line = m_waiting[team];
        const auto same = [number](const waiting_request &r) { return r.number == number; };
        const auto it = std::find_if(line.begin(), line.end(), same);
        if (it != line.end()) {
            line.erase(it);
            --m_waitingCount;
            forgetTeamIfIdle(team);
            return true;
        }
    }
    return false;
}

} // namespace damaskward
