/// \file
/// \brief The assignment of the shards of keyed services to targets.

#pragma once

#include "../Rules/rule_set.h"
#include "table_replica.h"

#include <map>
#include <optional>
#include <vector>

namespace damaskward {

/// \class shard_plan
/// \brief Assigns a target to every shard, from the rules and the role rows.
///
/// The result depends on nothing else, so VMs with the same rules and rows compute the same plan.
/// There are two levels. Rendezvous hashing with bounded load assigns each shard to one of the data
/// centres that are not drained. This level ignores whether VMs and targets are alive, so a data
/// centre that is cut off by a network failure keeps its shards. Inside the data centre, the same
/// hashing chooses among the targets that are neither draining nor down.
///
/// \code
/// shard_plan plan(rules, replica);
/// std::optional<target_id> wanted = plan.targetOf(shard);
/// \endcode
class shard_plan
{
public:
    shard_plan() = default;
    shard_plan(const rule_set &rules, const table_replica &replica);

    /// \returns the assigned target, or nothing if no target can take the shard.
    std::optional<target_id> targetOf(const shard_id &shard) const;

private:
    void planService(const service_id &service, const service_rule &rule, const rule_set &rules,
                     const table_replica &replica);

    std::map<service_id, std::vector<std::optional<target_id>>> m_targets;
};

} // namespace damaskward
