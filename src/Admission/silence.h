/// \file
/// \brief Why a target does not answer on one connection, judged by its other connections.

#pragma once

#include "../Core/time.h"

#include <algorithm>
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
    Full, ///< it has answered later requests: it has probably dropped this one
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
/// cannot queue, nor anything after it on that connection. It keeps answering on the others.
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
        if (sentAt > e.newestAnswered) {
            e.secondAnswered = std::exchange(e.newestAnswered, sentAt);
        } else {
            e.secondAnswered = std::max(e.secondAnswered, sentAt);
        }
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
        if (e.secondAnswered > sentAt) {
            return silence_cause::Full;
        }
        if (e.refusedAt > sentAt) {
            return silence_cause::Dead;
        }
        return e.timedOutAt > sentAt ? silence_cause::CutOff : silence_cause::Slow;
    }

private:
    /// Evidence is discarded this long after its last change; longer than any request takes.
    static constexpr seconds lifetime{60};

    struct entry
    {
        time_point changedAt{};
        time_point newestAnswered{}; ///< when the newest answered request was sent
        time_point secondAnswered{}; ///< the same for the second newest
        time_point refusedAt{};
        time_point timedOutAt{};
    };

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
