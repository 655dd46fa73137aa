/// \file
/// \brief Which VM keeps the keys: a lease on one row of the platform's store.

#pragma once

#include "../Core/time.h"

#include "../Table/table.h"

#include <algorithm>

namespace damaskward {

/// Spans of the keeper's lease.
struct lease_timing
{
    milliseconds lease{1600}; ///< from the sending of a renewal
    milliseconds renewAfter{500}; ///< so that two renewals may fail
    milliseconds readAfter{400}; ///< between two looks at another VM's lease
    milliseconds overdueAfter{1000}; ///< leaves time to lengthen the grants while it is held
    milliseconds rankDelay{300}; ///< a VM lets those before it try first
};

/// What to do about the lease now.
enum class lease_action {
    None,
    Read, ///< read the row
    Claim, ///< write the row as the new holder, if it still has the version last read
    Renew ///< write the row again
};

/// \class keeper_lease
/// \brief Claims, renews and gives up the lease. Without I/O; not thread-safe.
///
/// The holder counts its lease from when it sent the renewal, 1 % short; another VM claims it
/// only after it saw the row unchanged for the whole lease. So two never hold it at once, as long
/// as their clocks' rates differ by less than 1 %.
///
/// \code
/// switch (lease.step(otherKeeperAlive, rank, now)) { ... }
/// \endcode
class keeper_lease
{
public:
    explicit keeper_lease(lease_timing timing)
        : m_timing(timing)
    { }

    /// \returns whether the lease is held but has not been renewed for too long: the store is away.
    bool renewalOverdue(time_point now) const
    {
        return m_held && now >= m_leaseEnd - m_timing.lease + m_timing.overdueAfter;
    }

    /// \param otherAlive another VM is known to hold the lease
    /// \param rank how many living VMs claim before this one
    lease_action step(bool otherAlive, int rank, time_point now)
    {
        if (m_held && now >= m_leaseEnd) {
            m_held = false; // Lost: nothing is known of the row any more.
            m_seen = noVersion;
            m_quietSince = now;
        }
        m_rank = rank;
        if (m_busy) {
            return lease_action::None;
        }
        if (m_held) {
            return now >= m_actAt ? lease_action::Renew : lease_action::None;
        }
        if (otherAlive || m_quietSince == time_point{}) {
            m_quietSince = now;
        }
        if (otherAlive) {
            m_freeSince = time_point{};
            return lease_action::None;
        }
        const int readRank = std::max(0, rank - (readers - 1));
        if (now < m_quietSince + readRank * m_timing.rankDelay || now < m_actAt) {
            return lease_action::None;
        }
        const bool known = m_seen != noVersion && m_read == m_seen;
        if (!known || !(m_free || now >= m_seenAt + m_timing.lease)) {
            m_freeSince = time_point{};
            return lease_action::Read;
        }
        // Counted from here, for after an outage of the store the lease has run out for all.
        if (m_freeSince == time_point{}) {
            m_freeSince = now;
        }
        return now >= m_freeSince + rank * m_timing.rankDelay ? lease_action::Claim
                                                              : lease_action::None;
    }

    /// The holder has said which version its last renewal has. So the time in which the row must
    /// stay unchanged begins before it falls silent.
    void heardVersion(row_version version, time_point now)
    {
        if (!m_held && !m_busy && (m_seen == noVersion || m_seen < version)) {
            m_seen = version;
            m_seenAt = now;
            m_free = false;
        }
    }

    /// A call for the row has been sent; until it ends nothing else is done.
    void sent() { m_busy = true; }

    /// The row was read. \param version 0 when there is none
    /// \param free nobody holds it: it was given up, or its holder was this VM's former life
    void read(row_version version, bool free, time_point now)
    {
        m_busy = false;
        m_pause = milliseconds(0);
        m_read = version;
        if (m_seen != version) {
            m_seen = version;
            m_seenAt = now;
        }
        m_free = free || version == 0;
        m_actAt = m_free ? now : std::min(now + m_timing.readAfter, m_seenAt + m_timing.lease);
    }

    /// The row was written. \param sentAt when that call was sent
    void written(row_version version, time_point sentAt)
    {
        m_busy = false;
        m_held = true;
        m_seen = version;
        m_leaseEnd = sentAt + withDriftMargin(m_timing.lease);
        m_actAt = sentAt + m_timing.renewAfter;
    }

    /// The call failed; it is made again soon.
    void failed(time_point now)
    {
        m_busy = false;
        // The holder and the first in rank go on trying; the others wait ever longer, so that an
        // outage does not bring the calls of all VMs.
        constexpr milliseconds firstPause{200};
        constexpr milliseconds longestPause{3200};
        m_pause = m_held || m_rank < readers ? firstPause
                                             : std::clamp(2 * m_pause, firstPause, longestPause);
        m_actAt = now + m_pause;
    }

    /// Another VM has written the row.
    void lost(time_point now)
    {
        m_busy = false;
        m_held = false;
        m_seen = noVersion;
        m_freeSince = time_point{};
        m_quietSince = now;
        m_actAt = now;
    }

    /// The row should be written soon, for its content has changed.
    void hurry(time_point now) { m_actAt = now; }

    bool held(time_point now) const { return m_held && now < m_leaseEnd; }
    time_point leaseEnd() const { return m_held ? m_leaseEnd : time_point{}; }
    /// \returns the row's version as last read or written.
    row_version version() const { return m_seen == noVersion ? 0 : m_seen; }

private:
    static constexpr row_version noVersion = ~row_version{0};
    /// So many VMs read the row as soon as its holder is silent; the others read later.
    static constexpr int readers = 3;

    lease_timing m_timing;
    bool m_held = false;
    bool m_busy = false;
    int m_rank = 0; ///< as last told
    milliseconds m_pause{0}; ///< after the last failed call
    bool m_free = false;
    row_version m_seen = noVersion;
    row_version m_read = noVersion; ///< the version whose content is known
    time_point m_seenAt{}; ///< when the row was first seen at that version
    time_point m_freeSince{}; ///< since when it could be claimed
    time_point m_quietSince{}; ///< since when no other keeper was heard
    time_point m_leaseEnd{};
    time_point m_actAt{};
};

} // namespace damaskward
