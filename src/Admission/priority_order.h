/// \file
/// \brief Which requests for a service yield to more urgent ones while its targets are full.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

#include <map>

namespace damaskward {

/// \class priority_order
/// \brief Decides during a shortage whether a request is refused in favour of more urgent ones.
/// Without I/O; not thread-safe.
///
/// Load pattern: all targets of a service are full, and it gets requests of several priorities.
/// While more urgent requests arrive, a less urgent one may not take a place in the queue of a
/// target. A small share of each priority is exempt, so that none starves. With one priority only,
/// no request is refused.
///
/// \code
/// order.addRequest(service, 2, now);
/// if (allTargetsAreFull && order.mustYield(service, 2, now))
///     refuse();
/// \endcode
class priority_order
{
public:
    /// Records the arrival of a request.
    /// \param priority 0 is the most urgent
    void addRequest(const service_id &service, int priority, time_point now)
    {
        m_services[service][priority].lastArrivalAt = now;
    }

    /// To be called at most once for each try of a request, and only while all targets are full.
    bool mustYield(const service_id &service, int priority, time_point now)
    {
        auto &priorities = m_services[service];
        bool hasMoreUrgent = false;
        for (auto it = priorities.begin(); it != priorities.end() && it->first < priority;) {
            if (now >= it->second.lastArrivalAt + demandLifetime) {
                it = priorities.erase(it);
                continue;
            }
            hasMoreUrgent = true;
            ++it;
        }
        if (!hasMoreUrgent) {
            return false;
        }
        double &credit = priorities[priority].credit;
        credit += exemptShare;
        if (credit < 1.0) {
            return true;
        }
        credit -= 1.0;
        return false;
    }

private:
    /// A priority without requests for this time has no demand. Spans the gaps between the urgent
    /// requests at one VM, which gets a few per second.
    static constexpr milliseconds demandLifetime{1000};
    /// Share of the requests of each priority that do not yield.
    static constexpr double exemptShare = 0.05;

    struct demand
    {
        time_point lastArrivalAt{};
        double credit = 0.0; ///< a request that brings it to 1 does not yield
    };

    std::map<service_id, std::map<int, demand>> m_services;
};

} // namespace damaskward
