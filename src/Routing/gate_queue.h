/// \file
/// \brief The queue for one target's slots.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace damaskward {

/// Numbers a request inside one VM.
using request_number = std::uint64_t;

/// What a target bears, by its rule.
struct slot_limits
{
    int slots = 1;
    int coldSlots = 1; ///< just after its start
    milliseconds warmAfter{0}; ///< how long after its start it bears all its slots
};

/// A request that waits for a slot.
struct waiting_request
{
    request_number number = 0;
    team_id team;
    time_point deadline;
};

/// \class gate_queue
/// \brief Who gets the next free slot of one target; without I/O. Not thread-safe.
///
/// Teams take turns, so that one team's backlog does not hold up another's. A request that would
/// not get its slot before its deadline is refused at once, which keeps the queue short under
/// overload. A target that has just started is held to what it bears cold, counted from when the
/// gate first heard of that start, which is never before the start itself.
///
/// \code
/// gate_queue queue(limits);
/// queue.setOpen(true);
/// if (queue.enqueue(request, now))
///     while (auto number = queue.dispatch(now)) { send(*number); }
/// \endcode
class gate_queue
{
public:
    explicit gate_queue(const slot_limits &limits);

    void setLimits(const slot_limits &limits) { m_limits = limits; }
    /// Says whether the target holds a current grant; while it does not, requests wait.
    void setOpen(bool open) { m_open = open; }
    /// Takes note of which start of the target is running.
    void setBoot(std::uint64_t boot, time_point now);
    /// Takes note of requests that another gate still has running at the target.
    void setRunningElsewhere(int count) { m_runningElsewhere = count; }

    /// Queues a request.
    /// \returns false when it could not be served before its deadline.
    bool enqueue(const waiting_request &request, time_point now);
    /// \returns the request that may be sent now, or nothing. It holds a slot from then on.
    std::optional<request_number> dispatch(time_point now);
    /// The request no longer runs at the target.
    /// \param served whether the target answered; then the time counts for estimates
    void finish(request_number number, bool served, time_point now);
    /// \returns the requests whose deadline has passed while they waited; they are dropped.
    std::vector<request_number> expire(time_point now);
    /// \returns all waiting requests; they are dropped.
    std::vector<request_number> drainAll();
    /// \returns whether a caller that went away was still waiting; it is dropped.
    bool cancel(request_number number);

    /// \returns how many requests the target may run now.
    int allowed(time_point now) const;
    int running() const { return static_cast<int>(m_running.size()); }
    std::size_t waiting() const { return m_waitingCount; }
    /// \returns the running mean of how long the target takes, zero before the first answer.
    duration meanService() const { return m_meanService; }

private:
    void forgetTeamIfIdle(const team_id &team);

    slot_limits m_limits;
    bool m_open = false;
    std::uint64_t m_boot = 0;
    time_point m_warmAt{};
    int m_runningElsewhere = 0;
    std::map<team_id, std::deque<waiting_request>> m_waiting;
    std::deque<team_id> m_turns; ///< the teams that wait, the next one first
    std::size_t m_waitingCount = 0;
    std::map<request_number, time_point> m_running; ///< number -> when it was sent
    duration m_meanService{};
};

} // namespace damaskward
