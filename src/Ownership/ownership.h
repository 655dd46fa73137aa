/// \file
/// \brief The state machine by which one VM takes part in key ownership.

#pragma once

#include "events.h"
#include "expiration_manager.h"
#include "gate_manager.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "role_manager.h"
#include "session_manager.h"
#include "shard_plan.h"
#include "table_replica.h"
#include "vote_record.h"

#include <memory>

namespace damaskward {

/// \class ownership
/// \brief The state machine of one VM for sessions, roles, grants, shard moves and holdover.
///
/// It does no I/O and reads no clock: the caller passes in events with the current time and carries
/// out the actions that it returns. All calls must come from one thread.
///
/// \code
/// ownership machine(config);
/// action_list actions;
/// machine.handle(tick{}, mono_clock::now(), actions);
/// \endcode
/// \sa ownership_event, ownership_action
class ownership
{
public:
    explicit ownership(const ownership_config &config);

    ownership(const ownership &) = delete;
    ownership &operator=(const ownership &) = delete;

    /// Handles one event and appends the resulting actions to \a actions.
    void handle(const ownership_event &event, time_point now, action_list &actions);

    const table_replica &replica() const { return m_replica; }
    const session_manager &session() const { return m_session; }
    const gate_manager &gates() const { return m_gates; }
    const role_manager &roles() const { return m_roles; }
    const rule_set &rules() const { return *m_rules; }
    std::uint64_t rulesVersion() const { return m_rulesVersion; }
    /// \returns whether the platform has answered recently, directly or through a peer.
    /// \sa platform_route::isReachable()
    bool reachesPlatform(time_point now) const { return m_route.isReachable(now); }
    /// \returns whether the session row is known to be marked as ended, the last step of a
    /// shutdown.
    bool stopped() const { return m_session.hasEnded(); }
    /// \returns whether this VM holds the role \a role of its data centre and may act in it now.
    bool holds(std::string_view role, time_point now) const;

private:
    void on(const tick &event, time_point now, action_list &actions);
    void on(const read_done &event, time_point now, action_list &actions);
    void on(const commit_done &event, time_point now, action_list &actions);
    void on(const grant_done &event, time_point now, action_list &actions);
    void on(const hold_request_received &event, time_point now, action_list &actions);
    void on(const vote_request_received &event, time_point now, action_list &actions);
    void on(const hold_answered &event, time_point now, action_list &actions);
    void on(const vote_answered &event, time_point now, action_list &actions);
    void on(const rules_adopted &event, time_point now, action_list &actions);
    void on(const stop_requested &event, time_point now, action_list &actions);

    void step(time_point now, action_list &actions);
    void readTable(time_point now, action_list &actions);
    void stepRoles(time_point now, action_list &actions);
    void refreshPlan();
    bool canEndSession(time_point now) const;

    ownership_config m_config;
    platform_route m_route;
    vote_record m_votes;
    table_replica m_replica;
    session_manager m_session;
    expiration_manager m_expirations;
    role_manager m_roles;
    gate_manager m_gates;
    shard_plan m_plan;
    std::uint64_t m_plannedRoleChanges = 0;
    std::uint64_t m_plannedRulesVersion = 0;
    std::shared_ptr<const rule_set> m_rules;
    std::uint64_t m_rulesVersion = 0;
    operation_id m_nextId = 0;
    operation_id m_readId = 0; ///< the read in flight, or 0
    vm_id m_readRelay; ///< the peer that relays the read in flight; empty for a direct read
    time_point m_readAt{};
    time_point m_readDeadline{};
    time_point m_lastReadAt{};
    time_point m_handoverDeadline{};
    bool m_stopping = false;
};

} // namespace damaskward
