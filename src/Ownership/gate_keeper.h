/// \file
/// \brief The gates that this VM holds: grants to their targets, and moves of their shards.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "role_keeper.h"
#include "shard_plan.h"
#include "table_lane.h"
#include "table_mirror.h"
#include "target_lease.h"

#include <map>
#include <set>

namespace damaskward {

/// What a step of the gates is taken with.
struct gate_context
{
    const table_mirror &mirror;
    const rule_set &rules;
    const shard_plan &plan;
    const role_keeper &roles;
    std::uint64_t ownTerm = 0;
    time_point authority;
    time_point now;
};

/// \class gate_keeper
/// \brief Acts as gate for every target whose role row names this VM.
///
/// A shard's row is changed only by the gate of its present owner, in a transaction that checks
/// the shard row *and* the gate's role row; so a transaction that is delayed until the role has
/// changed hands finds a conflict. A shard whose move was sent is not granted again until its row
/// has changed, since the move may still be applied.
///
/// \sa target_lease, shard_plan
class gate_keeper
{
public:
    gate_keeper(const ownership_config &config, platform_route &route);

    void step(const gate_context &context, operation_id &nextId, action_list &actions);
    /// \returns whether the answer was this keeper's.
    bool handle(const commit_done &event, table_mirror &mirror, time_point now);
    void handle(const grant_done &event, time_point now);

    /// \returns the lease at \a target, or null when this VM is not its gate.
    const target_lease *lease(const target_id &target) const;

    /// \returns the targets whose gate this VM is.
    std::vector<target_id> held() const;

private:
    struct held_gate
    {
        std::string rowName;
        row_version claimedAt = 0; ///< rows older than this are not granted from
        target_lease lease;
        std::set<shard_id> leaving;
    };

    void syncGates(const gate_context &context);
    void syncGate(const gate_context &context, const target_id &target, const target_rule &rule);
    void indexShards(const table_mirror &mirror);
    void forgetSettledMoves(const table_mirror &mirror);
    void updateWanted(const gate_context &context, const target_id &target, held_gate &gate);
    void chooseLeaving(const gate_context &context, const target_id &target, held_gate &gate);
    bool mustLeaveAll(const gate_context &context, const target_id &target,
                      const held_gate &gate) const;
    bool mayMoveTo(const gate_context &context, const target_id &target) const;
    bool isWorthMoving(const gate_context &context, const target_id &from,
                       const target_id &to) const;
    std::size_t shardCount(const target_id &target) const;
    void writeStatus(const gate_context &context, operation_id &nextId, action_list &actions);
    void moveShards(const gate_context &context, operation_id &nextId, action_list &actions);
    void addMoves(const gate_context &context, const target_id &target, const held_gate &gate,
                  table_transaction &transaction);
    void addNewShards(const gate_context &context, table_transaction &transaction) const;

    ownership_config m_config;
    platform_route &m_route;
    table_lane m_statusLane;
    table_lane m_shardLane;
    std::map<target_id, held_gate> m_gates;
    std::map<target_id, std::vector<shard_id>> m_shardsOf;
    std::uint64_t m_indexedChanges = 0;
    std::map<shard_id, row_version> m_unresolved; ///< moves sent -> the version being replaced
};

} // namespace damaskward
