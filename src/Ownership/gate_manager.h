/// \file
/// \brief The gate roles held by this VM: granting shards to targets and moving shards.

#pragma once

#include "events.h"
#include "ownership_config.h"
#include "platform_route.h"
#include "role_manager.h"
#include "shard_plan.h"
#include "table_replica.h"
#include "target_lease.h"
#include "transaction_slot.h"

#include <map>
#include <set>

namespace damaskward {

/// The input of \ref gate_manager::step().
struct gate_context
{
    const table_replica &replica;
    const rule_set &rules;
    const shard_plan &plan;
    const role_manager &roles;
    std::uint64_t ownTerm = 0;
    time_point authority; ///< until when this VM may act
    time_point now;
};

/// \class gate_manager
/// \brief Acts as gate for every target whose role row names this VM.
///
/// A shard's row is changed only by the gate of its current owner, in a transaction that checks
/// both the shard row and the gate's role row. If the role changes its holder while the transaction
/// is delayed, the transaction fails with a conflict. Once a move has been sent, its shard is not
/// granted again until the shard's row has changed, because the move may still be applied.
///
/// \code
/// gate_manager gates(config, route);
/// gates.step(context, nextId, actions);
/// \endcode
/// \sa target_lease, shard_plan
class gate_manager
{
public:
    gate_manager(const ownership_config &config, platform_route &route);

    /// Updates the grants of every held gate and writes target states and shard moves.
    void step(const gate_context &context, operation_id &nextId, action_list &actions);
    /// Handles the result of a transaction.
    /// \returns false if this object did not start the transaction.
    bool handle(const commit_done &event, table_replica &replica, time_point now);
    /// Handles a target's answer to a grant.
    void handle(const grant_done &event, time_point now);

    /// \returns the lease at \a target, or null when this VM is not its gate.
    const target_lease *lease(const target_id &target) const;

    /// \returns the targets for which this VM holds the gate role.
    std::vector<target_id> held() const;

private:
    struct held_gate
    {
        std::string rowName;
        row_version claimVersion = 0; ///< no shards are granted from an older replica
        target_lease lease;
        std::set<shard_id> shardsToMove; ///< no longer granted, to be moved to another target
    };

    void updateGates(const gate_context &context);
    void updateGate(const gate_context &context, const target_id &target, const target_rule &rule);
    void indexShards(const table_replica &replica);
    void eraseResolvedMoves(const table_replica &replica);
    void updateGrantedShards(const gate_context &context, const target_id &target, held_gate &gate);
    void selectShardsToMove(const gate_context &context, const target_id &target, held_gate &gate);
    bool mustMoveAllShards(const gate_context &context, const target_id &target,
                           const held_gate &gate) const;
    bool canReceiveShards(const gate_context &context, const target_id &target) const;
    bool improvesPlacement(const gate_context &context, const target_id &from,
                           const target_id &to) const;
    std::size_t shardCount(const target_id &target) const;
    void writeStatus(const gate_context &context, operation_id &nextId, action_list &actions);
    void moveShards(const gate_context &context, operation_id &nextId, action_list &actions);
    void addMoves(const gate_context &context, const target_id &target, const held_gate &gate,
                  table_transaction &transaction);
    void addNewShards(const gate_context &context, table_transaction &transaction) const;

    ownership_config m_config;
    platform_route &m_route;
    transaction_slot m_statusSlot;
    transaction_slot m_shardSlot;
    std::map<target_id, held_gate> m_gates;
    std::map<target_id, std::vector<shard_id>> m_shardsOf;
    std::uint64_t m_indexedShardChanges = 0;
    std::map<shard_id, row_version> m_unresolvedMoves; ///< shard -> the replaced version
};

} // namespace damaskward
