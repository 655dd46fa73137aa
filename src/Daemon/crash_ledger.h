/// \file
/// \brief The crash book of one VM, shared by its threads and told to its peers.

#pragma once

#include "../Core/log.h"
#include "../Requests/crash_book.h"
#include "peer_directory.h"

#include <mutex>

namespace damaskward {

/// \class crash_ledger
/// \brief A \ref crash_book that several threads use and that peers add to. Thread-safe.
///
/// \code
/// crash_ledger ledger(peers);
/// ledger.noteCrash(fingerprint, target);
/// \endcode
class crash_ledger
{
public:
    explicit crash_ledger(peer_directory &peers)
        : m_peers(peers)
    { }

    /// A target died while the request ran; the peers are told.
    void noteCrash(std::uint64_t fingerprint, const target_id &target)
    {
        noteFromPeer(fingerprint);
        m_log.warn("Target {} was lost while it ran request {}.", target.str(), fingerprint);
        Json::Value parameters;
        parameters["fingerprint"] = Json::UInt64(fingerprint);
        m_peers.tellAll("crashed", parameters);
    }

    /// A peer has seen such a loss.
    void noteFromPeer(std::uint64_t fingerprint)
    {
        const std::lock_guard lock(m_mutex);
        const bool quarantined = m_book.noteCrash(fingerprint, mono_clock::now());
        if (quarantined) {
            m_log.warn("Request {} is quarantined.", fingerprint);
        }
    }

    void noteServed(std::uint64_t fingerprint)
    {
        const std::lock_guard lock(m_mutex);
        m_book.noteServed(fingerprint);
    }

    bool isQuarantined(std::uint64_t fingerprint) const
    {
        const std::lock_guard lock(m_mutex);
        return m_book.isQuarantined(fingerprint, mono_clock::now());
    }

private:
    peer_directory &m_peers;
    part_log m_log{"crash"};
    mutable std::mutex m_mutex;
    crash_book m_book;
};

} // namespace damaskward
