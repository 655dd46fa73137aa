/// \file
/// \brief Whether this VM reaches the platform, and by which way.

#pragma once

#include "../Core/ids.h"
#include "../Core/time.h"

namespace damaskward {

/// \class platform_route
/// \brief Chooses between the direct way to the platform and a way through a peer.
///
/// The direct way is tried again every so often while a relay is in use.
///
/// \code
/// platform_route route(config.timing.readEvery * 3);
/// vm_id through = route.way(now); // empty: directly
/// route.succeeded(through, now);
/// \endcode
class platform_route
{
public:
    /// \param patience the platform counts as unreachable when nothing succeeded for this long
    explicit platform_route(duration patience)
        : m_patience(patience)
    { }

    /// \returns the peer to go through, or empty for the direct way.
    vm_id way(time_point now)
    {
        if (m_relay.empty() || now < m_retryDirectAt) {
            return m_relay;
        }
        m_retryDirectAt = now + m_patience;
        return {};
    }

    /// An operation by way of \a through has been answered.
    void succeeded(const vm_id &through, time_point now)
    {
        m_lastContact = now;
        if (through.empty()) {
            m_lastDirectContact = now;
            m_relay = {};
        }
    }

    /// An operation by way of \a through went without an answer.
    void failed(const vm_id &through)
    {
        if (!through.empty() && through == m_relay) {
            m_relay = {};
        }
    }

    /// \a peer has said that it reaches the platform.
    void offer(const vm_id &peer, time_point now)
    {
        if (m_relay.empty()) {
            m_relay = peer;
            m_retryDirectAt = now + m_patience;
        }
    }

    /// \returns whether the platform was reached lately, by whichever way.
    bool reaches(time_point now) const { return now < m_lastContact + m_patience; }
    /// \returns whether it was reached lately without a peer's help.
    bool reachesDirectly(time_point now) const { return now < m_lastDirectContact + m_patience; }

private:
    duration m_patience;
    time_point m_lastContact{};
    time_point m_lastDirectContact{};
    time_point m_retryDirectAt{};
    vm_id m_relay;
};

} // namespace damaskward
