/// \file
/// \brief What share of the requests for its keys each target can take in time.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <string>

namespace damaskward {

/// What one owner of keys gets done.
struct owner_capacity
{
    double perSecond = 0.0; ///< requests that it gets done in a second
    double mostWaiting = 0.0; ///< requests that may wait there and still be answered in time
};

/// \class owner_admission
/// \brief Finds the owners that are asked for more than they get done, and what share of the
/// requests they can take. Without I/O; not thread-safe.
///
/// Answers two patterns: one hot key, which cannot be divided, and owners that are all near their
/// capacity. A target's queue is served in order, so one that is always full makes every answer
/// late, though the target works as much as with a short queue. What does not fit is better refused
/// at once. Only the keeper sees the requests for all keys, so it tells the other VMs.
///
/// \code
/// admission.asked("t1", now);
/// admission.reported("t1", 5, now);
/// const std::map<std::string, double> shares = admission.shares(capacityOf, now);
/// \endcode
/// \sa range_keeper
class owner_admission
{
public:
    using capacity_source = std::function<owner_capacity(const std::string &target)>;

    /// Counts a request for a key of \a target.
    void asked(const std::string &target, time_point now)
    {
        demand &d = m_targets[target];
        fade(d, now);
        d.count += 1.0;
    }

    /// \param waiting how many requests wait at \a target, as one of its answers says
    void reported(const std::string &target, int waiting, time_point now)
    {
        demand &d = m_targets[target];
        const bool outdated = now >= d.reportedAt + reportAge;
        d.waiting = outdated ? waiting : d.waiting + reportBlend * (waiting - d.waiting);
        d.reportedAt = now;
    }

    /// \returns by target the share of its requests that it can take; those that can take all are
    /// left out. Forgets targets that nobody asks for any more.
    std::map<std::string, double> shares(const capacity_source &capacityOf, time_point now)
    {
        std::map<std::string, double> result;
        for (auto it = m_targets.begin(); it != m_targets.end();) {
            demand &d = it->second;
            fade(d, now);
            constexpr double forgottenCount = 0.01;
            if (d.count < forgottenCount) {
                it = m_targets.erase(it);
                continue;
            }
            const double share = shareOf(d, capacityOf(it->first), now);
            if (share < 1.0) {
                result[it->first] = share;
            }
            ++it;
        }
        return result;
    }

private:
    /// Requests older than a few of these no longer count: a few reports of all VMs.
    static constexpr double fadeSeconds = 0.7;
    /// A queue that is not reported again within this time is taken for empty.
    static constexpr milliseconds reportAge{800};
    /// Share of a new report in the running mean of the queue.
    static constexpr double reportBlend = 0.4;
    /// A queue that is too long is worked off within this time.
    static constexpr double settleSeconds = 1.0;
    /// While the queue is shorter than this share of what it may be, single bursts are let through.
    static constexpr double calmQueue = 0.5;
    /// Demand above this multiple of what a target gets done is no burst.
    static constexpr double sureOverload = 1.6;
    /// Some requests are always let through, so that the target's recovery shows.
    static constexpr double leastShare = 0.02;

    struct demand
    {
        double count = 0.0; ///< of requests, fading
        time_point countedAt{};
        double waiting = 0.0;
        time_point reportedAt{};
    };

    static void fade(demand &d, time_point now)
    {
        const double age = std::chrono::duration<double>(now - d.countedAt).count();
        d.count *= std::exp(-age / fadeSeconds);
        d.countedAt = now;
    }

    static double shareOf(const demand &d, const owner_capacity &capacity, time_point now)
    {
        const double rate = d.count / fadeSeconds;
        const double waiting = now < d.reportedAt + reportAge ? d.waiting : 0.0;
        const bool calm = waiting < calmQueue * capacity.mostWaiting;
        if (capacity.perSecond <= 0.0 || (calm && rate < sureOverload * capacity.perSecond)) {
            return 1.0;
        }
        const double room = capacity.perSecond + (capacity.mostWaiting - waiting) / settleSeconds;
        return std::clamp(room / rate, leastShare, 1.0);
    }

    std::map<std::string, demand> m_targets;
};

} // namespace damaskward
