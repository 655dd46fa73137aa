/// \file
/// \brief Crashes of targets by request, shared by the threads of one VM and reported to its peers.

#pragma once

#include "../Core/log.h"
#include "../Requests/crash_tracker.h"
#include "peer_directory.h"

#include <mutex>

namespace damaskward {

/// \class shared_crash_tracker
/// \brief A \ref crash_tracker that several threads use and to which peers add. Thread-safe.
///
/// \code
/// shared_crash_tracker crashes(peers);
/// crashes.reportCrash(fingerprint, target);
/// \endcode
class shared_crash_tracker
{
public:
    explicit shared_crash_tracker(peer_directory &peers)
        : m_peers(peers)
    { }

    /// Records that \a target crashed while it ran the request, and notifies the other VMs of the
    /// data centre.
    void reportCrash(std::uint64_t fingerprint, const target_id &target)
    {
        recordCrash(fingerprint);
        m_log.warn(
            "Target {} was lost while it ran the request with fingerprint {}; peers are notified.",
            target.str(), fingerprint);
        Json::Value parameters;
        parameters["fingerprint"] = Json::UInt64(fingerprint);
        m_peers.notifyAll("crashed", parameters);
    }

    /// Records a crash that this VM or a peer has seen, without notifying the peers.
    void recordCrash(std::uint64_t fingerprint)
    {
        const std::lock_guard lock(m_mutex);
        const bool quarantined = m_crashes.recordCrash(fingerprint, mono_clock::now());
        if (quarantined) {
            m_log.warn("Requests with fingerprint {} are quarantined and refused: too many targets "
                       "crashed while they ran one.",
                       fingerprint);
        }
    }

    void recordAnswer(std::uint64_t fingerprint)
    {
        const std::lock_guard lock(m_mutex);
        m_crashes.recordAnswer(fingerprint);
    }

    bool isQuarantined(std::uint64_t fingerprint) const
    {
        const std::lock_guard lock(m_mutex);
        return m_crashes.isQuarantined(fingerprint, mono_clock::now());
    }

private:
    peer_directory &m_peers;
    component_log m_log{"crash"};
    mutable std::mutex m_mutex;
    crash_tracker m_crashes;
};

} // namespace damaskward
