#include "gate_manager.h"

#include <algorithm>

namespace damaskward {
namespace internal {

constexpr std::size_t maxShardsPerTransaction = 64;

/// Adds a check unless the transaction has it already.
void addCheckOnce(table_transaction &transaction, const std::string &name, row_version version)
{
    const auto same = [&name](const table_check &check) { return check.name == name; };
    if (std::none_of(transaction.checks.begin(), transaction.checks.end(), same)) {
        transaction.checks.push_back({name, version});
    }
}

} // namespace internal

gate_manager::gate_manager(const ownership_config &config, platform_route &route)
    : m_config(config)
    , m_route(route)
    , m_statusSlot(route)
    , m_shardSlot(route)
{ }

const target_lease *gate_manager::lease(const target_id &target) const
{
    const auto gate = m_gates.find(target);
    return gate == m_gates.end() ? nullptr : &gate->second.lease;
}

std::vector<target_id> gate_manager::held() const
{
    std::vector<target_id> targets;
    for (const auto &[target, gate] : m_gates) {
        targets.push_back(target);
    }
    return targets;
}

void gate_manager::updateGate(const gate_context &context, const target_id &target,
                              const target_rule &rule)
{
    const std::string rowName = roleName(m_config.dataCenter, gateRole(target));
    const seen_row<role_row> *seen = context.replica.role(rowName);
    if (seen == nullptr || !context.roles.isMine(seen->row, context.ownTerm)) {
        m_gates.erase(target);
        return;
    }
    const auto gate = m_gates.find(target);
    if (gate != m_gates.end() && gate->second.lease.gateTerm() == seen->row.term) {
        return;
    }
    const bool previousHolderExpired = context.roles.takenFromLapsed(rowName, seen->row.term);
    const time_point earlierGrantsExpireAt =
        previousHolderExpired ? context.now : context.now + m_config.timing.grant;
    m_gates.erase(target);
    m_gates.emplace(target,
                    held_gate{rowName,
                              seen->version,
                              target_lease(target, rule.address, seen->row.term,
                                           earlierGrantsExpireAt, m_config.timing, context.now),
                              {}});
}

void gate_manager::updateGates(const gate_context &context)
{
    for (const auto &[target, rule] : context.rules.targets) {
        if (rule.dataCenter == m_config.dataCenter) {
            updateGate(context, target, rule);
        }
    }
    for (auto it = m_gates.begin(); it != m_gates.end();) {
        const bool hasRule = context.rules.target(it->first) != nullptr;
        it = hasRule ? std::next(it) : m_gates.erase(it);
    }
}

void gate_manager::indexShards(const table_replica &replica)
{
    if (m_indexedShardChanges == replica.shardChanges()) {
        return;
    }
    m_indexedShardChanges = replica.shardChanges();
    m_shardsOf.clear();
    for (const auto &[shard, seen] : replica.shards()) {
        m_shardsOf[seen.row.target].push_back(shard);
    }
}

std::size_t gate_manager::shardCount(const target_id &target) const
{
    const auto shards = m_shardsOf.find(target);
    return shards == m_shardsOf.end() ? 0 : shards->second.size();
}

void gate_manager::eraseResolvedMoves(const table_replica &replica)
{
    for (auto it = m_unresolvedMoves.begin(); it != m_unresolvedMoves.end();) {
        const seen_row<shard_row> *seen = replica.shard(it->first);
        const bool isResolved = seen != nullptr && seen->version > it->second;
        it = isResolved ? m_unresolvedMoves.erase(it) : std::next(it);
    }
}

bool gate_manager::canReceiveShards(const gate_context &context, const target_id &target) const
{
    const target_rule *rule = context.rules.target(target);
    if (rule == nullptr) {
        return false;
    }
    const seen_row<role_row> *gate =
        context.replica.role(roleName(rule->dataCenter, gateRole(target)));
    return gate != nullptr && gate->row.status == target_status::Up;
}

bool gate_manager::mustMoveAllShards(const gate_context &context, const target_id &target,
                                     const held_gate &gate) const
{
    const target_rule *rule = context.rules.target(target);
    return rule->draining || context.rules.isOut(rule->dataCenter)
        || gate.lease.status() == target_status::Down;
}

bool gate_manager::improvesPlacement(const gate_context &context, const target_id &from,
                                     const target_id &to) const
{
    const bool changesDataCenter =
        context.rules.target(from)->dataCenter != context.rules.target(to)->dataCenter;
    return changesDataCenter || shardCount(to) < shardCount(from);
}

void gate_manager::selectShardsToMove(const gate_context &context, const target_id &target,
                                      held_gate &gate)
{
    const bool mustMoveAll = mustMoveAllShards(context, target, gate);
    const std::set<shard_id> previouslySelected = std::move(gate.shardsToMove);
    gate.shardsToMove.clear();
    for (const shard_id &shard : m_shardsOf[target]) {
        if (m_unresolvedMoves.count(shard) != 0) {
            gate.shardsToMove.insert(shard);
            continue;
        }
        const std::optional<target_id> wanted = context.plan.targetOf(shard);
        if (!wanted || *wanted == target || !canReceiveShards(context, *wanted)) {
            continue;
        }
        // Unless the target must give up all its shards, they are moved one at a time.
        const bool isSelected = mustMoveAll || previouslySelected.count(shard) != 0
            || (previouslySelected.empty() && gate.shardsToMove.empty()
                && improvesPlacement(context, target, *wanted));
        if (isSelected) {
            gate.shardsToMove.insert(shard);
        }
    }
}

void gate_manager::updateGrantedShards(const gate_context &context, const target_id &target,
                                       held_gate &gate)
{
    if (context.replica.revision() < gate.claimVersion) {
        // The previous gate may have moved a shard just before the role changed its holder, and the
        // replica may not have that change yet.
        return;
    }
    selectShardsToMove(context, target, gate);
    std::vector<granted_shard> wanted;
    for (const shard_id &shard : m_shardsOf[target]) {
        if (gate.shardsToMove.count(shard) == 0) {
            wanted.push_back({shard, context.replica.shard(shard)->row.epoch});
        }
    }
    gate.lease.setWanted(std::move(wanted));
}

void gate_manager::writeStatus(const gate_context &context, operation_id &nextId,
                               action_list &actions)
{
    if (!m_statusSlot.isIdle() || !m_route.isReachable(context.now)) {
        return;
    }
    table_transaction transaction;
    for (const auto &[target, gate] : m_gates) {
        const seen_row<role_row> *seen = context.replica.role(gate.rowName);
        const target_status status = gate.lease.status();
        const bool changed = status != target_status::New && status != seen->row.status;
        if (changed && transaction.puts.size() < internal::maxShardsPerTransaction) {
            role_row row = seen->row;
            row.status = status;
            transaction.replace(gate.rowName, seen->version, encode(row));
        }
    }
    if (transaction.empty()) {
        return;
    }
    m_statusSlot.start(std::move(transaction), ++nextId, context.now, actions);
}

void gate_manager::addMoves(const gate_context &context, const target_id &target,
                            const held_gate &gate, table_transaction &transaction)
{
    if (!gate.lease.hasReleased(context.now)) {
        return;
    }
    for (const shard_id &shard : gate.shardsToMove) {
        if (transaction.puts.size() >= internal::maxShardsPerTransaction) {
            return;
        }
        const seen_row<shard_row> *seen = context.replica.shard(shard);
        shard_row row = seen->row;
        row.target = context.plan.targetOf(shard).value_or(target);
        ++row.epoch;
        internal::addCheckOnce(transaction, gate.rowName,
                               context.replica.role(gate.rowName)->version);
        transaction.replace(shardName(shard), seen->version, encode(row));
    }
}

void gate_manager::addNewShards(const gate_context &context, table_transaction &transaction) const
{
    for (const auto &[service, rule] : context.rules.services) {
        for (std::uint32_t n = 0; n < rule.shards; ++n) {
            const shard_id shard{service, n};
            if (context.replica.shard(shard) != nullptr) {
                continue;
            }
            const std::optional<target_id> wanted = context.plan.targetOf(shard);
            const auto gate = wanted ? m_gates.find(*wanted) : m_gates.end();
            const bool ready =
                gate != m_gates.end() && gate->second.lease.status() == target_status::Up;
            if (ready && transaction.puts.size() < internal::maxShardsPerTransaction) {
                internal::addCheckOnce(transaction, gate->second.rowName,
                                       context.replica.role(gate->second.rowName)->version);
                transaction.replace(shardName(shard), 0, encode(shard_row{*wanted, 1}));
            }
        }
    }
}

void gate_manager::moveShards(const gate_context &context, operation_id &nextId,
                              action_list &actions)
{
    if (!m_shardSlot.isIdle() || !m_route.isReachable(context.now)) {
        return;
    }
    table_transaction transaction;
    for (const auto &[target, gate] : m_gates) {
        const bool current = context.replica.revision() >= gate.claimVersion;
        if (current && !context.roles.isHandingOver(gate.rowName)) {
            addMoves(context, target, gate, transaction);
        }
    }
    addNewShards(context, transaction);
    if (transaction.empty()) {
        return;
    }
    for (const table_check &check : transaction.checks) {
        const std::optional<shard_id> shard = shardOfName(check.name);
        if (shard && check.version != 0) {
            m_unresolvedMoves[*shard] = check.version;
        }
    }
    m_shardSlot.start(std::move(transaction), ++nextId, context.now, actions);
}

void gate_manager::step(const gate_context &context, operation_id &nextId, action_list &actions)
{
    m_statusSlot.takeTimedOut(context.now);
    m_shardSlot.takeTimedOut(context.now);
    updateGates(context);
    indexShards(context.replica);
    eraseResolvedMoves(context.replica);
    const bool hasAuthority = context.now < context.authority;
    for (auto &[target, gate] : m_gates) {
        updateGrantedShards(context, target, gate);
        const bool mustNotGrant = !hasAuthority || context.roles.isHandingOver(gate.rowName);
        gate.lease.step(mustNotGrant ? time_point{} : context.authority, context.now, actions);
    }
    if (hasAuthority) {
        writeStatus(context, nextId, actions);
        moveShards(context, nextId, actions);
    }
}

bool gate_manager::handle(const commit_done &event, table_replica &replica, time_point now)
{
    return m_statusSlot.finishAndApply(event, replica, now)
        || m_shardSlot.finishAndApply(event, replica, now);
}

void gate_manager::handle(const grant_done &event, time_point now)
{
    const auto gate = m_gates.find(event.target);
    if (gate != m_gates.end()) {
        gate->second.lease.handle(event, now);
    }
}

} // namespace damaskward
