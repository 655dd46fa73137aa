/// \file
/// \brief The queue of requests for one target's slots.

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

/// Identifies a request within one VM.
using request_number = std::uint64_t;

/// The concurrency limits of a target, from its rule.
struct slot_limits
{
    int slots = 1;
    int coldSlots = 1; ///< slots while it warms up after its start
    milliseconds warmAfter{0}; ///< duration of the warm-up
};

/// A request that waits for a slot.
struct waiting_request
{
    request_number number = 0;
    team_id team;
    time_point deadline;
};

/// \class gate_queue
/// \brief Assigns the free slots of one target to waiting requests. Without I/O; not thread-safe.
///
/// Teams are served in round-robin order, so that one team's backlog does not delay another team.
/// A request that is not expected to be answered before its deadline is refused at once, which
/// keeps the queue short under overload. A target that has just started gets only its warm-up
/// slots. The warm-up counts from when the gate first learns of the start, which is never before
/// the start itself.
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
    /// Sets whether the target holds a current grant. Requests wait while it does not.
    void setOpen(bool open) { m_isOpen = open; }
    /// Sets the identifier of the target's current start. A new one begins a warm-up.
    void setBoot(std::uint64_t boot, time_point now);
    /// Sets the number of requests of another gate that still run at the target.
    void setRunningFromOtherGate(int count) { m_runningElsewhere = count; }

    /// Queues a request.
    /// \returns false if it is refused: its deadline cannot be met or the queue is full.
    bool enqueue(const waiting_request &request, time_point now);
    /// Takes the next request from the queue. It occupies a slot until finish().
    /// \returns the request to send now, or nothing.
    std::optional<request_number> dispatch(time_point now);
    /// Frees the slot of a request that no longer runs at the target.
    /// \param served whether the target answered; only then does the time enter meanServiceTime()
    void finish(request_number number, bool served, time_point now);
    /// Removes the waiting requests whose deadline has passed.
    /// \returns these requests.
    std::vector<request_number> expire(time_point now);
    /// Removes all waiting requests.
    /// \returns these requests.
    std::vector<request_number> drainAll();
    /// Removes a waiting request whose caller has disconnected.
    /// \returns whether the request was still waiting.
    bool cancel(request_number number);

    /// \returns the number of requests of this gate that may run at the target now.
    int allowed(time_point now) const;
    int running() const { return static_cast<int>(m_running.size()); }
    std::size_t waiting() const { return m_waitingCount; }
    /// \returns the moving average of the target's service time, zero before the first answer.
    duration meanServiceTime() const { return m_meanServiceTime; }

private:
    void removeTeamIfIdle(const team_id &team);

    slot_limits m_limits;
    bool m_isOpen = false;
    std::uint64_t m_boot = 0;
    time_point m_warmupEndsAt{};
    int m_runningElsewhere = 0;
    std::map<team_id, std::deque<waiting_request>> m_waiting;
    std::deque<team_id> m_teamOrder; ///< teams with waiting requests, the next one first
    std::size_t m_waitingCount = 0;
    std::map<request_number, time_point> m_running; ///< by request: when it was sent
    duration m_meanServiceTime{};
};

} // namespace damaskward
