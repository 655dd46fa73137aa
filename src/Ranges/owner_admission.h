/// \file
/// \brief Which share of the requests for its keys each target can serve in time.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <iterator>
#include <map>
#include <numeric>
#include <string>

namespace damaskward {

/// What an owner of keys can serve.
struct owner_capacity
{
    double requestsPerSecond = 0.0;
    double maxQueueLength = 0.0; ///< requests that can wait and still be answered in time
};

/// By target and priority, the share of the requests of that priority that the target can serve.
using priority_shares = std::map<std::string, std::map<int, double>>;

/// \class owner_admission
/// \brief Finds the overloaded owners and computes which share of their requests they can serve.
/// Without I/O; not thread-safe.
///
/// Handles two load patterns: one hot key, which cannot be divided, and owners that are all near
/// their capacity. A target serves its queue in order. So a queue that is always full makes every
/// answer late, without a higher throughput than a short queue. Excess requests are therefore
/// refused at once. Only the coordinator knows the requests for all keys, so it sends the shares to
/// the other VMs.
///
/// If an overloaded owner gets requests of several priorities, the urgent ones get its capacity
/// first. Each priority keeps a part of the capacity, so that none starves.
///
/// \code
/// admission.addRequest("t1", now, 2);
/// admission.addQueueReport("t1", 5, now);
/// const std::map<std::string, double> shares = admission.admittedShares(capacityOf, now);
/// const priority_shares byPriority = admission.splitByPriority(shares);
/// \endcode
/// \sa range_coordinator
class owner_admission
{
public:
    using capacity_source = std::function<owner_capacity(const std::string &target)>;

    /// Counts a request for a key that \a target owns.
    /// \param target may be empty, if the key has no owner; nothing is counted then
    /// \param priority 0 is the most urgent
    void addRequest(const std::string &target, time_point now, int priority = 0)
    {
        if (target.empty()) {
            return;
        }
        demand &entry = m_targets[target];
        decay(entry, now);
        entry.counts[priority] += 1.0;
    }

    /// Updates the queue length of \a target.
    /// \param waiting the number of requests in its queue, as reported in one of its answers
    void addQueueReport(const std::string &target, int waiting, time_point now)
    {
        demand &entry = m_targets[target];
        const bool isOutdated = now >= entry.reportedAt + maxReportAge;
        entry.waiting =
            isOutdated ? waiting : entry.waiting + reportWeight * (waiting - entry.waiting);
        entry.reportedAt = now;
    }

    /// \returns by target the share of its requests that it can serve, without the targets that can
    /// serve all of them. Discards targets that no longer get requests.
    std::map<std::string, double> admittedShares(const capacity_source &capacityOf, time_point now)
    {
        std::map<std::string, double> result;
        for (auto it = m_targets.begin(); it != m_targets.end();) {
            demand &entry = it->second;
            decay(entry, now);
            for (auto c = entry.counts.begin(); c != entry.counts.end();) {
                c = c->second < minCount ? entry.counts.erase(c) : std::next(c);
            }
            if (entry.counts.empty()) {
                it = m_targets.erase(it);
                continue;
            }
            const double share = shareOf(entry, capacityOf(it->first), now);
            if (share < 1.0) {
                result[it->first] = share;
            }
            ++it;
        }
        return result;
    }

    /// Divides what each target can serve among the priorities of its requests.
    /// \param shares the result of admittedShares()
    /// \returns the shares of the targets that get requests of several priorities.
    priority_shares splitByPriority(const std::map<std::string, double> &shares) const
    {
        priority_shares result;
        for (const auto &[target, share] : shares) {
            const auto it = m_targets.find(target);
            if (it != m_targets.end() && it->second.counts.size() > 1) {
                result[target] = split(it->second, share);
            }
        }
        return result;
    }

private:
    /// Time constant of the exponentially decaying request count; covers a few reports of all VMs.
    static constexpr double decayTimeSeconds = 0.7;
    /// Without a new report for this time, a queue is assumed to be empty.
    static constexpr milliseconds maxReportAge{800};
    /// Weight of a new report in the moving average of the queue length.
    static constexpr double reportWeight = 0.4;
    /// The shares are set so that the excess of a queue is served within this time.
    static constexpr double queueDrainSeconds = 1.0;
    /// While the queue is shorter than this fraction of its allowed length, single bursts are
    /// admitted.
    static constexpr double shortQueueRatio = 0.5;
    /// Offered load above this multiple of the capacity is an overload, not a burst.
    static constexpr double overloadFactor = 1.6;
    /// Some requests are always admitted, since their answers show when the target has recovered.
    static constexpr double minAdmittedShare = 0.02;

    /// Part of an overloaded owner's capacity that is divided evenly among the priorities of its
    /// requests. The rest goes to the urgent ones first.
    static constexpr double reservedPart = 0.1;
    /// A priority with a lower count is forgotten.
    static constexpr double minCount = 0.01;

    struct demand
    {
        std::map<int, double> counts; ///< of requests by priority, exponentially decaying

        double total() const
        {
            return std::accumulate(counts.begin(), counts.end(), 0.0,
                                   [](double sum, const auto &c) { return sum + c.second; });
        }

        time_point countedAt{};
        double waiting = 0.0;
        time_point reportedAt{};
    };

    static void decay(demand &entry, time_point now)
    {
        const double age = std::chrono::duration<double>(now - entry.countedAt).count();
        const double factor = std::exp(-age / decayTimeSeconds);
        for (auto &[priority, count] : entry.counts) {
            count *= factor;
        }
        entry.countedAt = now;
    }

    static std::map<int, double> split(const demand &entry, double share)
    {
        const double admitted = share * entry.total();
        const double reserve = admitted * reservedPart / static_cast<double>(entry.counts.size());
        double left = admitted;
        for (const auto &[priority, count] : entry.counts) {
            left -= std::min(count, reserve);
        }
        std::map<int, double> result;
        for (const auto &[priority, count] : entry.counts) {
            const double reserved = std::min(count, reserve);
            const double further = std::min(count - reserved, left);
            left -= further;
            result[priority] = (reserved + further) / count;
        }
        return result;
    }

    static double shareOf(const demand &entry, const owner_capacity &capacity, time_point now)
    {
        const double rate = entry.total() / decayTimeSeconds;
        const double waiting = now < entry.reportedAt + maxReportAge ? entry.waiting : 0.0;
        const bool isQueueShort = waiting < shortQueueRatio * capacity.maxQueueLength;
        if (capacity.requestsPerSecond <= 0.0
            || (isQueueShort && rate < overloadFactor * capacity.requestsPerSecond)) {
            return 1.0;
        }
        const double admissibleRate =
            capacity.requestsPerSecond + (capacity.maxQueueLength - waiting) / queueDrainSeconds;
        return std::clamp(admissibleRate / rate, minAdmittedShare, 1.0);
    }

    std::map<std::string, demand> m_targets;
};

} // namespace damaskward
