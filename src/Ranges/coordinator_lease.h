/// \file
/// \brief Elects the range coordinator: a lease on one row of the platform's store.

#pragma once

#include "../Core/time.h"

#include "../Table/table.h"

#include <algorithm>

namespace damaskward {

/// Time spans of the coordinator lease.
struct lease_timing
{
    milliseconds leaseDuration{1600}; ///< duration, from the sending of a renewal
    milliseconds renewInterval{500}; ///< two renewals may fail before the lease expires
    milliseconds readInterval{400}; ///< between two reads of a row that another VM holds
    /// From the sending of the last renewal; leaves time to extend all grants while the lease is
    /// held.
    milliseconds overdueAfter{1000};
    milliseconds rankDelay{300}; ///< per rank, so that VMs of lower rank number claim first
};

/// The next call to the store.
enum class lease_action {
    None,
    Read, ///< read the row
    Claim, ///< write the row as the new holder, if it still has the version last read
    Renew ///< write the row again
};

/// \class coordinator_lease
/// \brief Claims, renews and gives up the lease. Without I/O; not thread-safe.
///
/// The holder counts its lease from the sending of the renewal and ends it 1 % early. Another VM
/// claims the lease only after the row has stayed unchanged for the whole lease duration. So two
/// VMs never hold the lease at once, as long as the rates of their clocks differ by less than 1 %.
///
/// \code
/// switch (lease.step(otherCoordinatorAlive, rank, now)) { ... }
/// \endcode
class coordinator_lease
{
public:
    explicit coordinator_lease(lease_timing timing)
        : m_timing(timing)
    { }

    /// \returns whether the lease is held but its renewal is overdue, since the store does not
    /// accept writes.
    bool renewalOverdue(time_point now) const
    {
        return m_isHeld && now >= m_leaseEnd - m_timing.leaseDuration + m_timing.overdueAfter;
    }

    /// Advances the state machine; to be called periodically.
    /// \param otherAlive whether another live VM is known to hold the lease
    /// \param rank number of live VMs that may claim the lease before this one
    /// \returns the call to make to the store now
    lease_action step(bool otherAlive, int rank, time_point now)
    {
        if (m_isHeld && now >= m_leaseEnd) {
            m_isHeld = false; // Expired: the content of the row is no longer known.
            m_seenVersion = unknownVersion;
            m_noHolderSince = now;
        }
        m_rank = rank;
        if (m_isCallPending) {
            return lease_action::None;
        }
        if (m_isHeld) {
            return now >= m_nextCallAt ? lease_action::Renew : lease_action::None;
        }
        if (otherAlive || m_noHolderSince == time_point{}) {
            m_noHolderSince = now;
        }
        if (otherAlive) {
            m_claimableSince = time_point{};
            return lease_action::None;
        }
        const int readRank = std::max(0, rank - (immediateReaderCount - 1));
        if (now < m_noHolderSince + readRank * m_timing.rankDelay || now < m_nextCallAt) {
            return lease_action::None;
        }
        const bool isContentKnown =
            m_seenVersion != unknownVersion && m_readVersion == m_seenVersion;
        if (!isContentKnown || !(m_isUnheld || now >= m_seenVersionAt + m_timing.leaseDuration)) {
            m_claimableSince = time_point{};
            return lease_action::Read;
        }
        // The rank delay starts now, not when the lease expired: during an outage of the store the
        // lease expires for all VMs, and all could claim it at once afterwards.
        if (m_claimableSince == time_point{}) {
            m_claimableSince = now;
        }
        return now >= m_claimableSince + rank * m_timing.rankDelay ? lease_action::Claim
                                                                   : lease_action::None;
    }

    /// Processes the version of the last renewal, as received in a heartbeat of the holder. So the
    /// time for which the row must stay unchanged starts before the holder becomes unresponsive.
    void onHeartbeatVersion(row_version version, time_point now)
    {
        if (!m_isHeld && !m_isCallPending
            && (m_seenVersion == unknownVersion || m_seenVersion < version)) {
            m_seenVersion = version;
            m_seenVersionAt = now;
            m_isUnheld = false;
        }
    }

    /// Starts over with the row of a new era of the store, which does not exist yet as far as this
    /// VM knows. A lease that is held stays held until its end: no other VM can have claimed it.
    void onNewEra(time_point now)
    {
        m_seenVersion = m_isHeld ? row_version{0} : unknownVersion;
        m_readVersion = unknownVersion;
        m_isUnheld = false;
        m_claimableSince = time_point{};
        m_noHolderSince = now; // The VMs read the row one after the other.
        m_retryDelay = milliseconds(0);
        m_nextCallAt = now;
    }

    /// Records that a call ended without a result, since it concerned a row of an earlier era.
    void onCallObsolete(time_point now)
    {
        m_isCallPending = false;
        m_nextCallAt = now;
    }

    /// Records that a call to the store was sent. step() returns no action until the call ends.
    void onCallSent() { m_isCallPending = true; }

    /// Processes the result of a read.
    /// \param version 0 if there is no row
    /// \param isUnheld whether no VM holds the lease: it was given up, or its holder was a previous
    /// incarnation of this VM
    void onRowRead(row_version version, bool isUnheld, time_point now)
    {
        m_isCallPending = false;
        m_retryDelay = milliseconds(0);
        m_readVersion = version;
        if (m_seenVersion != version) {
            m_seenVersion = version;
            m_seenVersionAt = now;
        }
        m_isUnheld = isUnheld || version == 0;
        m_nextCallAt = m_isUnheld
            ? now
            : std::min(now + m_timing.readInterval, m_seenVersionAt + m_timing.leaseDuration);
    }

    /// Records a successful write, which claims or renews the lease.
    /// \param sentAt when the call was sent
    void onRowWritten(row_version version, time_point sentAt)
    {
        m_isCallPending = false;
        m_isHeld = true;
        m_seenVersion = version;
        m_leaseEnd = sentAt + withDriftMargin(m_timing.leaseDuration);
        m_nextCallAt = sentAt + m_timing.renewInterval;
    }

    /// Records a failed call; step() repeats it after a delay.
    void onCallFailed(time_point now)
    {
        m_isCallPending = false;
        // The holder and the VMs of lowest rank number retry at a constant rate. The other VMs back
        // off exponentially, so that an outage does not cause calls from all VMs.
        constexpr milliseconds firstRetryDelay{200};
        constexpr milliseconds longestRetryDelay{3200};
        m_retryDelay = m_isHeld || m_rank < immediateReaderCount
            ? firstRetryDelay
            : std::clamp(2 * m_retryDelay, firstRetryDelay, longestRetryDelay);
        m_nextCallAt = now + m_retryDelay;
    }

    /// Records that this VM does not hold the lease: another VM has written the row, a claim got no
    /// answer, or this VM has given the lease up.
    void onLeaseLost(time_point now)
    {
        m_isCallPending = false;
        m_isHeld = false;
        m_seenVersion = unknownVersion;
        m_claimableSince = time_point{};
        m_noHolderSince = now;
        m_nextCallAt = now;
    }

    /// Makes the holder write the row at the next step(), since its content has changed.
    void scheduleWriteNow(time_point now) { m_nextCallAt = now; }

    bool isHeld(time_point now) const { return m_isHeld && now < m_leaseEnd; }
    time_point leaseEnd() const { return m_isHeld ? m_leaseEnd : time_point{}; }
    /// \returns the longest time for which a VM may hold the lease without the store.
    milliseconds leaseDuration() const { return m_timing.leaseDuration; }
    /// \returns the version of the row as last seen, or 0 if unknown.
    row_version version() const { return m_seenVersion == unknownVersion ? 0 : m_seenVersion; }

private:
    static constexpr row_version unknownVersion = ~row_version{0};
    /// Number of VMs that read the row as soon as its holder becomes unresponsive. The other VMs
    /// read it after a delay by rank.
    static constexpr int immediateReaderCount = 3;

    lease_timing m_timing;
    bool m_isHeld = false;
    bool m_isCallPending = false;
    int m_rank = 0; ///< as last passed to step()
    milliseconds m_retryDelay{0}; ///< after the last failed call
    bool m_isUnheld = false;
    row_version m_seenVersion = unknownVersion;
    row_version m_readVersion = unknownVersion; ///< the version whose content was read
    time_point m_seenVersionAt{}; ///< when the row was first seen at m_seenVersion
    time_point m_claimableSince{}; ///< since when the lease can be claimed
    time_point m_noHolderSince{}; ///< since when no live holder is known
    time_point m_leaseEnd{};
    time_point m_nextCallAt{};
};

} // namespace damaskward
