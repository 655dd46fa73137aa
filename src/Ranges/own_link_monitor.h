/// \file
/// \brief Detects that commands are not sent because the coordinator's own link is busy.

#pragma once

#include "../Core/time.h"

#include <deque>
#include <map>
#include <string>
#include <string_view>

namespace damaskward {

/// \class own_link_monitor
/// \brief Tells a busy link of this VM from unresponsive targets. Without I/O; not thread-safe.
///
/// If commands to many targets of this VM's own data centre are not sent at about the same time,
/// the cause is this VM's link. Targets of other data centres do not count: a network partition
/// cuts all of them off at once.
///
/// \code
/// monitor.add(target, isLocal, wasSent, now);
/// if (monitor.isBusy(now))
///     ...
/// \endcode
class own_link_monitor
{
public:
    /// The results of commands that count, long enough for the time-out of a few commands.
    static constexpr milliseconds window{1000};
    /// The link counts as busy for this long after the last sign of it, so that renewals do not
    /// change their rate with each pause in the traffic.
    static constexpr milliseconds holdTime{3000};
    /// Fewer targets may have failed by themselves.
    static constexpr int minUnsentTargets = 4;
    /// Fraction of the targets with results in the window, above which the link is busy.
    static constexpr double minUnsentShare = 0.25;

    /// Records the result of a command.
    /// \param isLocal whether the target is in this VM's data centre
    /// \param wasSent whether any part of it was sent, or the target refused the connection; not if
    /// the connection could not be established in time
    void add(std::string_view target, bool isLocal, bool wasSent, time_point now)
    {
        removeOld(now);
        if (!isLocal) {
            return;
        }
        m_results.push_back({now, std::string(target), wasSent});
        counts &count = m_targets[std::string(target)];
        m_unsentTargets += !wasSent && count.unsent == 0 ? 1 : 0;
        ++count.all;
        count.unsent += wasSent ? 0 : 1;
        if (m_unsentTargets >= minUnsentTargets
            && m_unsentTargets >= minUnsentShare * static_cast<double>(m_targets.size())) {
            m_busyUntil = now + holdTime;
        }
    }

    /// \returns whether commands are not sent because this VM's link is busy.
    bool isBusy(time_point now) const { return now < m_busyUntil; }

private:
    struct result
    {
        time_point at{};
        std::string target;
        bool wasSent = false;
    };

    struct counts
    {
        int all = 0;
        int unsent = 0;
    };

    void removeOld(time_point now)
    {
        while (!m_results.empty() && now >= m_results.front().at + window) {
            const result &oldest = m_results.front();
            const auto it = m_targets.find(oldest.target);
            it->second.unsent -= oldest.wasSent ? 0 : 1;
            m_unsentTargets -= !oldest.wasSent && it->second.unsent == 0 ? 1 : 0;
            if (--it->second.all == 0) {
                m_targets.erase(it);
            }
            m_results.pop_front();
        }
    }

    std::deque<result> m_results; ///< within the window, in the order of time
    std::map<std::string, counts, std::less<>> m_targets; ///< of m_results
    int m_unsentTargets = 0; ///< targets with an unsent command in the window
    time_point m_busyUntil{};
};

} // namespace damaskward
