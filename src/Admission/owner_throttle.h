/// \file
/// \brief Keeps the requests for the keys of overloaded owners to the shares that they can serve.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace damaskward {

/// \class owner_throttle
/// \brief Admits a share of the requests for each overloaded owner at even intervals. Without I/O;
/// not thread-safe.
///
/// Each request adds the share of its priority to a credit. A request that brings the credit to 1
/// is admitted and subtracts 1.
///
/// \code
/// throttle.setShares({{"t1", 0.4}}, {{"t1", {{0, 1.0}, {2, 0.1}}}}, now + lifetime);
/// if (!throttle.admits("t1", 2, now))
///     refuse();
/// \endcode
/// \sa owner_admission
class owner_throttle
{
public:
    /// \param random returns random numbers between 0 and 1
    explicit owner_throttle(std::function<double()> random)
        : m_random(std::move(random))
    { }

    /// Sets for each overloaded owner the share of its requests that it can serve.
    /// \param shares by owner, over all priorities
    /// \param byPriority by owner and priority, for owners with requests of several priorities
    /// \param until when the shares expire unless replaced
    void setShares(const std::map<std::string, double> &shares,
                   const std::map<std::string, std::map<int, double>> &byPriority, time_point until)
    {
        retainKeysOf(m_owners, shares);
        for (const auto &[owner, share] : shares) {
            throttled_owner &entry = m_owners[owner];
            entry.total = share;
            const auto several = byPriority.find(owner);
            update(entry.byPriority,
                   several == byPriority.end() ? std::map<int, double>{{0, share}}
                                               : several->second);
        }
        m_expireAt = until;
    }

    /// Decides whether a request for a key of \a owner is admitted. To be called once per request.
    /// \param priority 0 is the most urgent
    bool admits(std::string_view owner, int priority, time_point now)
    {
        const auto it = now < m_expireAt ? m_owners.find(owner) : m_owners.end();
        if (it == m_owners.end() || it->second.byPriority.empty()) {
            return true;
        }
        meter &m = meterOf(it->second.byPriority, priority);
        m.credit += m.share;
        if (m.credit < 1.0) {
            return false;
        }
        m.credit -= 1.0;
        return true;
    }

    /// \returns the time in which \a owner would serve the requests that are refused in a while, or
    /// 0 if it is not overloaded: the excess of excessTime, divided by the rate that it serves.
    milliseconds drainTime(std::string_view owner, time_point now) const
    {
        const auto it = now < m_expireAt ? m_owners.find(owner) : m_owners.end();
        if (it == m_owners.end() || it->second.total <= 0.0) {
            return milliseconds(0);
        }
        const double excess = std::max(0.0, 1.0 - it->second.total) / it->second.total;
        return milliseconds(
            static_cast<std::int64_t>(static_cast<double>(excessTime.count()) * excess));
    }

private:
    /// Time over which the coordinator measures the demand for an owner.
    static constexpr milliseconds excessTime{700};

    struct meter
    {
        double share = 1.0;
        double credit = 0.0;
    };
    using meters = std::map<int, meter>; ///< by priority

    struct throttled_owner
    {
        double total = 1.0; ///< its share over all priorities
        meters byPriority;
    };

    /// \returns the meter of \a priority. A priority without a share of its own uses that of the
    /// next less urgent one, which is at most what it would get, or else the last one.
    static meter &meterOf(meters &all, int priority)
    {
        const auto it = all.lower_bound(priority);
        return it == all.end() ? std::prev(it)->second : it->second;
    }

    void update(meters &all, const std::map<int, double> &shares)
    {
        retainKeysOf(all, shares);
        for (const auto &[priority, share] : shares) {
            // A new meter starts with random credit, so that not all VMs admit their first request
            // at the same time.
            const auto [it, added] = all.try_emplace(priority);
            it->second.share = share;
            if (added) {
                it->second.credit = m_random();
            }
        }
    }

    template <typename Map, typename Keys>
    static void retainKeysOf(Map &map, const Keys &keys)
    {
        for (auto it = map.begin(); it != map.end();) {
            it = keys.count(it->first) == 0 ? map.erase(it) : std::next(it);
        }
    }

    std::function<double()> m_random;
    std::map<std::string, throttled_owner, std::less<>> m_owners;
    time_point m_expireAt{};
};

} // namespace damaskward
