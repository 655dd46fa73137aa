/// \file
/// \brief The state machine by which one VM takes part in key ownership.

#pragma once

#include "events.h"
#include "gate_keeper.h"
#include "lapse_keeper.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "role_keeper.h"
#include "session_keeper.h"
#include "shard_plan.h"
#include "table_mirror.h"
#include "vote_book.h"

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

    const table_mirror &mirror() const { return m_mirror; }
    const session_keeper &session() const { return m_session; }
    const gate_keeper &gates() const { return m_gates; }
    const role_keeper &roles() const { return m_roles; }
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
    void on(const hold_asked &event, time_point now, action_list &actions);
    void on(const vote_asked &event, time_point now, action_list &actions);
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
    vote_book m_votes;
    table_mirror m_mirror;
    session_keeper m_session;
    lapse_keeper m_expirations;
    role_keeper m_roles;
    gate_keeper m_gates;
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
