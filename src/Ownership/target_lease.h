/// \file
/// \brief The shards that a gate has granted to its target, and the grant's deadline.

#pragma once

#include "../Table/rows.h"
#include "events.h"
#include "ownership_config.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

namespace damaskward {

/// \class target_lease
/// \brief A gate's record of the grant to one target, and the sender of its renewals.
///
/// The deadline of a grant is a time on the target's clock, computed from the last clock reading
/// that the target reported. If the reading was \c t and its answer arrived here at \c r, the
/// target's clock reaches `t + (d - r)` no later than this VM's clock reaches \c d. So the grant
/// never outlasts the gate's authority, whatever the transit time of the message.
///
/// \code
/// target_lease lease(target, address, gateTerm, earlierGrantsExpireAt, timing, now);
/// lease.setWanted(shards);
/// lease.step(authority, now, actions);
/// \endcode
/// \sa gate_manager
class target_lease
{
public:
    /// \param gateTerm the fencing token of the role
    /// \param earlierGrantsExpireAt when all grants of earlier gates are guaranteed to have expired
    target_lease(target_id target, std::string address, std::uint64_t gateTerm,
                 time_point earlierGrantsExpireAt, const control_timing &timing, time_point now);

    /// Sets the shards to grant from the next message on.
    void setWanted(std::vector<granted_shard> shards);
    /// Sends a grant, or a status request, if one is due.
    /// \param authority until when the gate may act
    void step(time_point authority, time_point now, action_list &actions);
    /// Handles the target's answer, or its absence.
    void handle(const grant_done &event, time_point now);

    /// \returns whether the target is reachable, as far as known.
    target_status status() const { return m_status; }
    /// \returns whether the target is guaranteed to hold no shard outside the wanted set.
    bool hasReleased(time_point now) const { return m_released || now > m_grantsExpireAt; }
    /// \returns whether the target has confirmed the wanted set since its last start.
    bool isCurrent() const { return m_confirmedSet == m_setNumber && m_boot != 0; }
    const std::vector<granted_shard> &wanted() const { return m_wanted; }
    std::uint64_t gateTerm() const { return m_gateTerm; }
    std::uint64_t boot() const { return m_boot; }
    /// \returns the latest deadline granted so far, on this VM's clock.
    time_point grantedUntil() const { return m_grantedUntil; }
    /// \returns how many requests of earlier gates the target was running when it last answered.
    int runningForOthers() const { return m_runningForOthers; }
    const std::string &address() const { return m_address; }
    /// \returns whether the target has reported a higher gate term, so that this gate is
    /// superseded.
    bool fenced() const { return m_isFenced; }

private:
    grant_request makeGrant(time_point deadline) const;
    void applyAnswer(const grant_answer &answer, time_point now);

    target_id m_target;
    std::string m_address;
    std::uint64_t m_gateTerm;
    control_timing m_timing;
    time_point m_grantsExpireAt; ///< when all grants so far are guaranteed to have expired
    time_point m_answerDeadline; ///< a target that has not answered by then counts as down
    time_point m_sendAt;
    time_point m_grantedUntil{};
    target_status m_status = target_status::New;
    std::uint64_t m_boot = 0;
    target_time m_reported; ///< the latest reported reading of the target's clock
    time_point m_reportedAt{}; ///< when that reading was received
    std::uint64_t m_sequence = 0;
    std::uint64_t m_setNumber = 1;
    std::uint64_t m_confirmedSet = 0; ///< the set that the target last reported
    std::vector<granted_shard> m_wanted; ///< the shards of set m_setNumber
    int m_runningForOthers = 0;
    bool m_released = false;
    bool m_isFenced = false;
};

} // namespace damaskward
