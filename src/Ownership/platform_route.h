/// \file
/// \brief Whether this VM reaches the platform, directly or through a peer.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

namespace damaskward {

/// \class platform_route
/// \brief Chooses between direct access to the platform and access relayed by a peer.
///
/// While a peer relays, direct access is tried again once per timeout.
///
/// \code
/// platform_route route(config.timing.readEvery * 3);
/// vm_id through = route.chooseRelay(now); // empty for direct access
/// route.recordSuccess(through, now);
/// \endcode
class platform_route
{
public:
    /// \param timeout the platform counts as unreachable when it has answered nothing for this time
    explicit platform_route(duration timeout)
        : m_timeout(timeout)
    { }

    /// \returns the peer through which the next operation is sent, or empty for direct access.
    vm_id chooseRelay(time_point now)
    {
        if (m_relay.empty() || now < m_retryDirectAt) {
            return m_relay;
        }
        m_retryDirectAt = now + m_timeout;
        return {};
    }

    /// Records that an operation was answered.
    /// \param through the peer that relayed the operation; empty if it was sent directly
    void recordSuccess(const vm_id &through, time_point now)
    {
        m_lastContact = now;
        if (through.empty()) {
            m_lastDirectContact = now;
            m_relay = {};
        }
    }

    /// Records that an operation was not answered. A peer that relayed it is no longer used.
    void recordFailure(const vm_id &through)
    {
        if (!through.empty() && through == m_relay) {
            m_relay = {};
        }
    }

    /// Records that \a peer reaches the platform. It is used as relay if there is no other one.
    void offerRelay(const vm_id &peer, time_point now)
    {
        if (m_relay.empty()) {
            m_relay = peer;
            m_retryDirectAt = now + m_timeout;
        }
    }

    /// \returns whether the platform has answered within the timeout, directly or through a peer.
    bool isReachable(time_point now) const { return now < m_lastContact + m_timeout; }
    /// \returns whether the platform has answered a direct operation within the timeout.
    bool isDirectlyReachable(time_point now) const { return now < m_lastDirectContact + m_timeout; }

private:
    duration m_timeout;
    time_point m_lastContact{};
    time_point m_lastDirectContact{};
    time_point m_retryDirectAt{};
    vm_id m_relay;
};

} // namespace damaskward
