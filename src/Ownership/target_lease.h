/// \file
/// \brief What one gate has granted to its target, and until when.

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
/// \brief The gate's side of the grants at one target.
///
/// The grant's deadline is computed on the target's clock from the last time the target reported:
/// if the target read \c t and the answer arrived here at \c r, then the gate's point \c d is not
/// before the target's point `t + (d - r)`. So the target's grant never outlasts the gate's
/// authority, however long the order travels.
///
/// \sa gate_keeper
class target_lease
{
public:
    /// \param gateTerm the fencing token of the role
    /// \param surelyPassedAt when everything that earlier gates granted has passed its deadline
    target_lease(target_id target, std::string address, std::uint64_t gateTerm,
                 time_point surelyPassedAt, const control_timing &timing, time_point now);

    /// Sets what the target should hold from the next order on.
    void want(std::vector<granted_shard> shards);
    /// Sends an order when one is due.
    /// \param authority until when the gate may act
    void step(time_point authority, time_point now, action_list &actions);
    /// Takes the target's answer.
    void handle(const grant_done &event, time_point now);

    /// \returns whether the target answers.
    target_status status() const { return m_status; }
    /// \returns whether a shard outside the wanted set is surely not held by the target any more.
    bool hasReleased(time_point now) const { return m_released || now > m_surelyPassedAt; }
    /// \returns whether the target has confirmed the wanted set in this boot.
    bool isCurrent() const { return m_ackedSet == m_setNumber && m_boot != 0; }
    const std::vector<granted_shard> &wanted() const { return m_wanted; }
    std::uint64_t gateTerm() const { return m_gateTerm; }
    std::uint64_t boot() const { return m_boot; }
    /// \returns until when, on this VM's clock, the last grant lasts.
    time_point grantedUntil() const { return m_grantedUntil; }
    /// \returns how many requests of earlier gates the target still runs, by its last answer.
    int runningForOthers() const { return m_runningForOthers; }
    const std::string &address() const { return m_address; }
    /// \returns whether a higher gate term was seen at the target.
    bool fenced() const { return m_fenced; }

private:
    grant_request makeOrder(time_point deadline) const;
    void learn(const grant_answer &answer, time_point now);

    target_id m_target;
    std::string m_address;
    std::uint64_t m_gateTerm;
    control_timing m_timing;
    time_point m_surelyPassedAt;
    time_point m_answerBy; ///< when a target that stays silent counts as lost
    time_point m_sendAt;
    time_point m_grantedUntil{};
    target_status m_status = target_status::New;
    std::uint64_t m_boot = 0;
    target_time m_reported; ///< the target's clock in its last answer
    time_point m_reportedAt{}; ///< when that answer arrived
    std::uint64_t m_sequence = 0;
    std::uint64_t m_setNumber = 1;
    std::uint64_t m_ackedSet = 0;
    std::vector<granted_shard> m_wanted;
    int m_runningForOthers = 0;
    bool m_released = false;
    bool m_fenced = false;
};

} // namespace damaskward
