/// \file
/// \brief Why a target does not answer on one connection, judged by its other connections.

#pragma once

#include "../Core/time.h"

#include <algorithm>
#include <array>
#include <cstddef>
#include <functional>
#include <iterator>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace damaskward {

/// Why a target has not answered a request for much longer than usual.
enum class silence_cause {
    Slow, ///< it answers no connection, but nothing shows that it has terminated
    Full, ///< it has answered later requests: it has dropped this one, or takes long for it
    Dead, ///< it refuses connections
    CutOff ///< connections to it time out
};

/// \returns the name of \a cause in logs and metrics.
inline const char *nameOf(silence_cause cause)
{
    switch (cause) {
    case silence_cause::Full:
        return "silent_full";
    case silence_cause::Dead:
        return "silent_dead";
    case silence_cause::CutOff:
        return "silent_cut_off";
    case silence_cause::Slow:
        break;
    }
    return "silent_slow";
}

/// \class connection_evidence
/// \brief What the connections to each target show about a request that is not answered. Without
/// I/O; not thread-safe.
///
/// Load pattern: the queues of targets are full, and a full target never answers a request that it
/// cannot queue, nor anything after it on that connection. It keeps answering on the others. So
/// does a target with several slots that works on one long request. Only a target that has nothing
/// to do has certainly dropped the request.
///
/// \code
/// evidence.recordAnswer("t1", sentAt, now);
/// if (evidence.causeOfSilence("t1", otherSentAt) == silence_cause::Full)
///     sendAgain();
/// \endcode
class connection_evidence
{
public:
    /// Records that \a target answered a request that was sent at \a sentAt.
    void recordAnswer(const std::string &target, time_point sentAt, time_point now)
    {
        entry &e = entryOf(target, now);
        const auto oldest = std::min_element(e.answered.begin(), e.answered.end());
        *oldest = std::max(*oldest, sentAt);
    }
    /// Records that \a target had no request to run or to queue when it answered a request that was
    /// sent at \a sentAt.
    void recordIdle(const std::string &target, time_point sentAt, time_point now)
    {
        entry &e = entryOf(target, now);
        e.idleAfter = std::max(e.idleAfter, sentAt);
    }
    /// Records that no connection to \a target could be established.
    /// \param isRefused whether it was refused, or else timed out
    void recordNoConnection(const std::string &target, bool isRefused, time_point now)
    {
        entry &e = entryOf(target, now);
        (isRefused ? e.refusedAt : e.timedOutAt) = now;
    }

    /// \param sentAt when the request was sent that \a target has not answered
    silence_cause causeOfSilence(std::string_view target, time_point sentAt) const
    {
        const auto it = m_targets.find(target);
        if (it == m_targets.end()) {
            return silence_cause::Slow;
        }
        const entry &e = it->second;
        // One answer alone may have overtaken a request with a long service time.
        constexpr std::size_t minLaterAnswers = 2;
        if (answeredAfter(e, sentAt) >= minLaterAnswers) {
            return silence_cause::Full;
        }
        if (e.refusedAt > sentAt) {
            return silence_cause::Dead;
        }
        return e.timedOutAt > sentAt ? silence_cause::CutOff : silence_cause::Slow;
    }

    /// \returns whether \a target was idle after it must have got a request sent at \a sentAt.
    bool wasIdleAfter(std::string_view target, time_point sentAt) const
    {
        const auto it = m_targets.find(target);
        return it != m_targets.end() && it->second.idleAfter > sentAt;
    }

    /// \returns how many requests sent after \a sentAt \a target has answered, at most
    /// maxCountedAnswers.
    std::size_t answeredAfter(std::string_view target, time_point sentAt) const
    {
        const auto it = m_targets.find(target);
        return it == m_targets.end() ? 0 : answeredAfter(it->second, sentAt);
    }

    static constexpr std::size_t maxCountedAnswers = 8;

private:
    /// Evidence is discarded this long after its last change; longer than any request takes.
    static constexpr seconds lifetime{60};

    struct entry
    {
        time_point changedAt{};
        std::array<time_point, maxCountedAnswers> answered{}; ///< when the newest ones were sent
        time_point idleAfter{}; ///< when the newest one was sent whose answer reported no load
        time_point refusedAt{};
        time_point timedOutAt{};
    };

    static std::size_t answeredAfter(const entry &e, time_point sentAt)
    {
        return static_cast<std::size_t>(
            std::count_if(e.answered.begin(), e.answered.end(),
                          [sentAt](time_point answered) { return answered > sentAt; }));
    }

    entry &entryOf(const std::string &target, time_point now)
    {
        if (now >= m_cleanUpAt) {
            m_cleanUpAt = now + lifetime;
            for (auto it = m_targets.begin(); it != m_targets.end();) {
                it = now >= it->second.changedAt + lifetime ? m_targets.erase(it) : std::next(it);
            }
        }
        entry &e = m_targets[target];
        e.changedAt = now;
        return e;
    }

    std::map<std::string, entry, std::less<>> m_targets;
    time_point m_cleanUpAt{};
};

} // namespace damaskward
