/// \file
/// \brief Which requests this VM sends, where to, and what it tells the callers of the others.

#pragma once

#include "../Core/time.h"
#include "../Fleet/target_pool.h"
#include "owner_throttle.h"
#include "priority_order.h"
#include "retry_delay.h"
#include "service_times.h"
#include "silence.h"

#include <functional>
#include <optional>
#include <set>
#include <string>

namespace damaskward {

/// A request for a service that is not sharded, to be sent to one of its targets.
struct unsharded_request
{
    const service_id &service;
    const std::set<std::string> &tried; ///< targets that it was already sent to
    bool preferLocal = false;
    int priority = 0; ///< 0 is the most urgent
    time_point deadline{};
};

/// Returns the best target that a query allows, or null.
using target_chooser_function = std::function<target_state *(const target_query &)>;

/// The target for a request, or why there is none.
struct target_choice
{
    target_state *target = nullptr;
    const char *refusal = nullptr; ///< reason; null if there is a target
    milliseconds drain{0}; ///< after this time a target has free capacity
};

/// \class admission_control
/// \brief Admission decisions of one VM: order of priority, feasible deadlines, return of refused
/// callers. Without I/O; not thread-safe.
///
/// \code
/// admission_control admission(targets, random);
/// const target_choice choice = admission.choose({service, tried, false, 1, deadline}, choose,
/// now); if (!choice.target)
///     refuse(choice.refusal, admission.drainTime(service, now));
/// \endcode
/// \sa owner_throttle, priority_order, feasibility.h, retry_delay.h
class admission_control
{
public:
    /// \param random returns random numbers between 0 and 1
    admission_control(target_pool &targets, std::function<double()> random)
        : m_targets(targets)
        , m_random(std::move(random))
        , m_ownerThrottle(m_random)
    { }

    owner_throttle &ownerThrottle() { return m_ownerThrottle; }

    /// Records the arrival of a request at this VM.
    void recordArrival(const service_id &service, int priority, time_point now)
    {
        m_order.addRequest(service, priority, now);
    }
    /// Records the time that \a target took for a request that did not wait in its queue.
    void recordServiceTime(const target_state &target, duration time);

    /// \returns whether a target of \a service could answer before \a deadline if it started now.
    bool hasTimeFor(const service_id &service, time_point deadline, time_point now) const;
    /// The same for a request that takes the mean service time.
    bool hasTimeForUsual(const service_id &service, time_point deadline, time_point now) const;
    /// \returns false if \a target almost certainly does not answer before \a deadline.
    bool canAnswer(const target_state &target, time_point deadline, time_point now) const;
    /// Chooses a target that can answer in time, and refuses requests that yield to more urgent
    /// ones. Prefers targets that are not warming up.
    /// \param choose returns the best target that a query allows, or null
    target_choice choose(const unsharded_request &request, const target_chooser_function &choose,
                         time_point now);

    /// \returns whether the queue of \a target takes a while to drain, so that another request
    /// would be refused as well.
    static bool queueIsFull(const target_state &target)
    {
        return target.load.waiting >= target.record.slots;
    }
    /// \returns the time after which \a target has worked off the requests that wait there, and a
    /// pause that it asked for is over.
    milliseconds drainTime(const target_state &target, time_point now) const;
    /// \returns the shortest drain time of the targets of \a service.
    milliseconds drainTime(const service_id &service, time_point now) const;
    /// \returns the Retry-After of a refused request.
    /// \param drain after this time, what refused it has free capacity
    /// \param callerDeadline the end of the caller's time, if it has stated it
    milliseconds retryAfter(const service_id &service, milliseconds drain, int priority,
                            std::optional<time_point> callerDeadline, time_point now) const;

    /// \returns the observations from which the cause of a silence is judged.
    connection_evidence &evidence() { return m_evidence; }
    /// \returns how long a request sent to \a target now may take before its connection counts as
    /// silent; 0 if that is not known yet.
    milliseconds silenceLimit(const target_state &target, time_point now) const;
    /// Judges why \a target has not answered a request that was sent at \a sentAt. If it has also
    /// reported a full queue, it gets no requests while it drains.
    silence_cause judgeSilence(const std::string &target, time_point sentAt, time_point now);
    /// \returns whether \a target has dropped a request that was sent at \a sentAt, so that it does
    /// not work on it. If it reports its load, that shows it; otherwise it has answered more later
    /// requests than it runs at once.
    bool hasDropped(const std::string &target, time_point sentAt) const;

private:
    static bool isFull(const target_state &target, time_point now);
    bool mustYield(const unsharded_request &request, const target_chooser_function &choose,
                   target_query query, time_point now);

    target_pool &m_targets;
    std::function<double()> m_random;
    owner_throttle m_ownerThrottle;
    priority_order m_order;
    service_times m_serviceTimes;
    connection_evidence m_evidence;
    int m_samplesUntilCleanUp = 0;
};

} // namespace damaskward
