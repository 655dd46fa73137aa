/// \file
/// \brief Whether the peer of a TCP connection still answers, judged by its acknowledgements.

#pragma once

#include "../Core/time.h"

#include <algorithm>

namespace damaskward {

/// What the kernel reports about the data sent on a connection. Source: Linux, struct tcp_info.
struct send_status
{
    bool hasOutstandingData = false; ///< data that the peer has not acknowledged, sent or not
    int unansweredSegments = 0; ///< segments of data that the peer has not acknowledged
    int unansweredProbes = 0; ///< probes of a closed window without an answer
    time_point acknowledgedAt{}; ///< when the last acknowledgement arrived
};

/// \class peer_silence
/// \brief Tells a peer that no longer answers from one that reads slowly. Without I/O; not
/// thread-safe.
///
/// A slow reader keeps its receive window closed and answers each probe of it, so a connection
/// without progress is no sign of a lost peer. The kernel doubles the interval of the probes, and
/// the answer to a single one may be lost. A peer with a closed window is therefore lost when it
/// has answered neither of two probes. TCP_USER_TIMEOUT makes no such difference.
///
/// \code
/// if (silence.isLost(status, now))
///     abort();
/// \endcode
class peer_silence
{
public:
    /// How long data or probes stay unanswered before the peer counts as lost: the platform's limit
    /// for lost contact.
    static constexpr milliseconds limit{3000};
    /// Interval at which the status of a connection with outstanding data is checked.
    static constexpr milliseconds checkInterval{500};

    /// \param status what the kernel reports now
    /// \returns whether the peer counts as lost
    bool isLost(const send_status &status, time_point now)
    {
        if (status.unansweredSegments == 0 && status.unansweredProbes == 0) {
            m_lostAt = time_point{};
            return false;
        }
        // The connection may have been idle before, with its last acknowledgement long ago.
        const time_point silentSince =
            m_lostAt == time_point{} ? now : std::max(m_lostAt - limit, status.acknowledgedAt);
        m_lostAt = silentSince + limit;
        constexpr int minUnansweredProbes = 2;
        const bool isProven =
            status.unansweredSegments > 0 || status.unansweredProbes >= minUnansweredProbes;
        return isProven && now >= m_lostAt;
    }

private:
    time_point m_lostAt{}; ///< empty while the peer owes no acknowledgement
};

} // namespace damaskward
